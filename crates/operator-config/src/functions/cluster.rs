//! `fellows()`, `audit()` and `straggler()`: membership among the routers of a site, and what depends on it.

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;

use super::{set_once, ClusterCall};
use crate::arguments::{Arguments, KeywordValues};
use crate::config::{AuditSection, StragglerSection};
use crate::evaluation::{call_position, with_collected};
use crate::parameters;

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Makes the routers of the own site exchange what they act on.
    fn fellows<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fellows()", values);
        let place = place(&mut arguments)?;
        let mut parameters = MembershipConfig::default();
        arguments.parameters(parameters::cluster::PARAMETERS, &mut parameters)?;
        arguments.finish()?;
        let timeouts = parameters.timeouts;
        if timeouts.suspect_after > timeouts.dead_after {
            return Err(anyhow::anyhow!("fellows(): expected suspect up to gone"));
        }
        if parameters.freeze_threshold > timeouts.suspect_after {
            return Err(anyhow::anyhow!("fellows(): expected frozen up to suspect"));
        }
        let position = call_position(eval);
        let call = ClusterCall { parameters, place };
        with_collected(|calls| set_once(&mut calls.cluster, position, "fellows()", call))?;
        Ok(NoneType)
    }

    /// Keeps an audit log of what this router does, on which versions.
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

    /// Stops routers that are behind what the fleet has settled from serving.
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
            return Err(anyhow::anyhow!("straggler(): voters: {voter:?} stands there twice"));
        }
        let position = call_position(eval);
        let config = StragglerSection { voters, parameters };
        with_collected(|calls| set_once(&mut calls.straggler, position, "straggler()", config))?;
        Ok(NoneType)
    }
}

fn place(arguments: &mut Arguments) -> anyhow::Result<Option<Location>> {
    let Some(value) = arguments.take("place") else { return Ok(None) };
    let text = arguments.text_value("place", value)?;
    match Location::parse(&text) {
        Ok(place) => Ok(Some(place)),
        Err(error) => Err(anyhow::anyhow!("fellows(): place: {error}")),
    }
}

fn first_duplicate(names: &[String]) -> Option<&String> {
    names.iter().enumerate().find(|(index, name)| names[..*index].contains(name)).map(|(_, name)| name)
}
