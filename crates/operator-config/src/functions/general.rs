//! `control()`, `log()` and `watch()`.

use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;

use super::set_once;
use crate::arguments::{Arguments, KeywordValues, NumberKind};
use crate::config::{LogSection, ShadowPolicySection};
use crate::evaluation::{call_position, with_collected};

/// Maximum length of the path of a Unix socket: `sun_path` of its address, rounded down.
const MAX_SOCKET_PATH_BYTES: usize = 100;
const DEFAULT_LOG_LINES_PER_SECOND: f64 = 20.0;
const DEFAULT_SHADOW_LOG_INTERVAL_SECONDS: f64 = 60.0;

/// Choices of [`Arguments::one_of`] that represent themselves.
fn texts<const N: usize>(choices: [&'static str; N]) -> [(&'static str, &'static str); N] {
    choices.map(|text| (text, text))
}

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Sets the path of the control socket, on which the router accepts `linnethook` commands.
    fn control<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("control()", values);
        let path = arguments.text("path")?.ok_or_else(|| anyhow::anyhow!("control(): path is missing"))?;
        if path.len() > MAX_SOCKET_PATH_BYTES || !path.starts_with('/') {
            return Err(anyhow::anyhow!(
                "control(): path: expected an absolute path of up to 100 bytes, got {path:?}"
            ));
        }
        arguments.finish()?;
        let position = call_position(eval);
        with_collected(|calls| set_once(&mut calls.control, position, "control()", path))?;
        Ok(NoneType)
    }

    /// Sets the format and the rate limit of the log.
    fn log<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("log()", values);
        let json = arguments.one_of("format", &[("text", false), ("json", true)])?.unwrap_or(false);
        let rate = arguments.number("lines_per_second", 1.0..=10_000.0, NumberKind::Integer)?;
        arguments.finish()?;
        let lines_per_second = rate.unwrap_or(DEFAULT_LOG_LINES_PER_SECOND) as u32;
        let position = call_position(eval);
        let config = LogSection { json, lines_per_second };
        with_collected(|calls| set_once(&mut calls.log, position, "log()", config))?;
        Ok(NoneType)
    }

    /// Turns on the shadow policy, which counts the decisions that would differ under other settings.
    fn watch<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("watch()", values);
        let weight_source = arguments.one_of("weight_source", &texts(["off", "nominal", "rough", "live"]))?;
        let tells = arguments.one_of("tells", &texts(["all", "hit", "off"]))?;
        let peers_fill = arguments.one_of("peers_fill", &texts(["off", "location", "any"]))?;
        let merges_fills = arguments.optional_flag("merges_fills")?;
        let bypass_allowed = arguments.optional_flag("bypass_allowed")?;
        let max_attempts = arguments.number("max_attempts", 1.0..=255.0, NumberKind::Integer)?;
        let interval = arguments.number("every", 1.0..=86_400.0, NumberKind::Real)?;
        arguments.finish()?;
        let config = ShadowPolicySection {
            weight_source: weight_source.map(str::to_string),
            tells: tells.map(str::to_string),
            peers_fill: peers_fill.map(str::to_string),
            merges_fills,
            bypass_allowed,
            max_attempts: max_attempts.map(|attempts| attempts as u32),
            log_interval_seconds: interval.unwrap_or(DEFAULT_SHADOW_LOG_INTERVAL_SECONDS),
        };
        let position = call_position(eval);
        with_collected(|calls| set_once(&mut calls.watch, position, "watch()", config))?;
        Ok(NoneType)
    }
}
