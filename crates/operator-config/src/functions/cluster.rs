//! `fellows()`, `audit()` and `straggler()`: membership among the routers of a site, and what requires it.

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use linnethook_membership::Ms;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;

use super::{set_once, ClusterCall};
use crate::arguments::{Arguments, KeywordValues};
use crate::config::{AuditSection, StragglerSection};
use crate::evaluation::{call_position, with_collected};
use crate::parameters::{self, MILLISECONDS_PER_SECOND};

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Turns on membership: the routers of the site exchange their state and the changes that they apply.
    fn fellows<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fellows()", values);
        let location = place(&mut arguments)?;
        let mut parameters = MembershipConfig::default();
        arguments.parameters(parameters::cluster::PARAMETERS, &mut parameters)?;
        arguments.finish()?;
        let timeouts = parameters.timeouts;
        if timeouts.suspect_after > timeouts.dead_after {
            return Err(above_limit("suspect", timeouts.suspect_after, "gone", timeouts.dead_after));
        }
        if parameters.freeze_threshold > timeouts.suspect_after {
            return Err(above_limit(
                "frozen",
                parameters.freeze_threshold,
                "suspect",
                timeouts.suspect_after,
            ));
        }
        let position = call_position(eval);
        let call = ClusterCall { parameters, location };
        with_collected(|calls| set_once(&mut calls.cluster, position, "fellows()", call))?;
        Ok(NoneType)
    }

    /// Turns on the audit log, which records the actions of this router and the versions behind them.
    fn audit<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("audit()", values);
        let directory = arguments.text("folder")?;
        if let Some(path) = directory.as_ref().filter(|path| !path.starts_with('/')) {
            return Err(anyhow::anyhow!("audit(): folder: expected an absolute path, got {path:?}"));
        }
        let mut parameters = AuditLogConfig::default();
        arguments.parameters(parameters::audit::PARAMETERS, &mut parameters)?;
        arguments.finish()?;
        let position = call_position(eval);
        let config = AuditSection { directory, parameters };
        with_collected(|calls| set_once(&mut calls.audit, position, "audit()", config))?;
        Ok(NoneType)
    }

    /// Stops a router from serving while it is behind the versions that the fleet has settled.
    fn straggler<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("straggler()", values);
        let voters = arguments.names("voters")?;
        let mut parameters = StragglerConfig::default();
        arguments.parameters(parameters::straggler::PARAMETERS, &mut parameters)?;
        arguments.finish()?;
        if let Some(voter) = first_duplicate(&voters) {
            return Err(anyhow::anyhow!(
                "straggler(): voters: expected different names, got {voter:?} twice"
            ));
        }
        let position = call_position(eval);
        let config = StragglerSection { voters, parameters };
        with_collected(|calls| set_once(&mut calls.straggler, position, "straggler()", config))?;
        Ok(NoneType)
    }
}

/// The error for a parameter that exceeds another one; both values are in milliseconds.
fn above_limit(name: &str, value: Ms, limit_name: &str, limit: Ms) -> anyhow::Error {
    let (value, limit) = (value / MILLISECONDS_PER_SECOND, limit / MILLISECONDS_PER_SECOND);
    anyhow::anyhow!("fellows(): {name}: expected at most {limit_name}, {limit} seconds, got {value}")
}

/// The argument `place`: the location of this router.
fn place(arguments: &mut Arguments) -> anyhow::Result<Option<Location>> {
    let Some(value) = arguments.take("place") else { return Ok(None) };
    let text = arguments.text_value("place", value)?;
    match Location::parse(&text) {
        Ok(location) => Ok(Some(location)),
        Err(error) => Err(anyhow::anyhow!("fellows(): place: {error}")),
    }
}

fn first_duplicate(names: &[String]) -> Option<&String> {
    names.iter().enumerate().find(|(index, name)| names[..*index].contains(name)).map(|(_, name)| name)
}
