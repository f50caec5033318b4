//! `gateway()`, `site()` and `link()`.

use linnethook_gateway::gateway::GatewayConfig as GatewayParameters;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;
use starlark::values::Value;

use super::{set_once, GatewayCall, Located};
use crate::arguments::{Arguments, KeywordValues, NumberKind};
use crate::config::{LinkConfig, SiteConfig};
use crate::evaluation::{call_position, with_collected};
use crate::parameters;

const DEFAULT_CONNECTIONS: f64 = 1.0;

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Makes this router a gateway of the given site.
    fn gateway<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("gateway()", values);
        let site = arguments.take("site").ok_or_else(|| anyhow::anyhow!("gateway(): site is missing"))?;
        let site = arguments.name_value("site", site)?;
        let listen = arguments.address("listen")?;
        let mut parameters = GatewayParameters::default();
        arguments.parameters(parameters::gateway::PARAMETERS, &mut parameters)?;
        arguments.finish()?;
        let position = call_position(eval);
        let call = GatewayCall { site, listen, parameters };
        with_collected(|calls| set_once(&mut calls.gateway, position, "gateway()", call))?;
        Ok(NoneType)
    }

    /// Defines another site.
    fn site<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("site()", values);
        let name = arguments.name_value("name", name)?;
        let classes = arguments.names("classes")?;
        arguments.finish()?;
        let position = call_position(eval);
        let value = SiteConfig { name, classes };
        with_collected(|calls| {
            calls.sites.push(Located { position, value });
            Ok(())
        })?;
        Ok(NoneType)
    }

    /// Opens connections to a gateway of another site, or to another router of the same site.
    fn link<'v>(
        to: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("link()", values);
        let to = arguments.name_value("to", to)?;
        let connect = arguments.address("connect")?;
        let connect = connect.ok_or_else(|| anyhow::anyhow!("link(): connect is missing"))?;
        let connections = arguments.number("connections", 1.0..=4.0, NumberKind::Integer)?;
        arguments.finish()?;
        let connections = connections.unwrap_or(DEFAULT_CONNECTIONS) as u32;
        let position = call_position(eval);
        let value = LinkConfig { to, connect, connections };
        with_collected(|calls| {
            calls.links.push(Located { position, value });
            Ok(())
        })?;
        Ok(NoneType)
    }
}
