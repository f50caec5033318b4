//! Requests of the control socket that concern other sites.

use crate::control::{ControlRequest, ControlResponse};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::RemoteSites;

/// The response to a request of the control socket, and whether effects follow from it.
pub struct SiteResponse {
    /// The response.
    pub response: ControlResponse,
    /// Whether [`RemoteSites::next_effect`] has to be called.
    pub has_effects: bool,
}

impl SiteResponse {
    fn without_effects(response: ControlResponse) -> Self {
        Self { response, has_effects: false }
    }

    fn rejected(reason: impl Into<String>) -> Self {
        Self::without_effects(ControlResponse::Refused(reason.into()))
    }
}

/// Handles a request; `remote_sites` is `None` if the operator file has no `gateway()`.
pub fn respond<W: EventHandler>(
    remote_sites: Option<&mut RemoteSites<W>>,
    now: Ms,
    request: ControlRequest,
) -> SiteResponse {
    let Some(remote_sites) = remote_sites else {
        return SiteResponse::rejected("the gateway is disabled: the operator file has no gateway()");
    };
    let gateway = &remote_sites.gateway;
    match request {
        ControlRequest::GatewayStatus => {
            SiteResponse::without_effects(ControlResponse::GatewayStatus(Box::new(gateway.status(now))))
        }
        ControlRequest::GatewayRoutes => {
            SiteResponse::without_effects(ControlResponse::GatewayRoutes(gateway.route_views(now)))
        }
        ControlRequest::DrainSite { site, drained } => remote_sites.drain_site(now, &site, drained),
        _ => SiteResponse::rejected("not a request about sites"),
    }
}

impl<W: EventHandler> RemoteSites<W> {
    /// Drains a site on behalf of the operators, or ends the drain.
    fn drain_site(&mut self, now: Ms, site: &str, drained: bool) -> SiteResponse {
        if !self.gateway.set_drained(now, site, drained) {
            return SiteResponse::rejected(format!("there is no site {site:?}"));
        }
        let state = if drained { "drained" } else { "no longer drained" };
        log_line!(always "gateway: site {site} is {state} by its operators");
        let response = ControlResponse::Done(format!("{site} is {state}"));
        SiteResponse { response, has_effects: true }
    }
}
