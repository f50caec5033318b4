//! Tables and charts of a scale run, from the values of its rows and slopes.

use std::collections::BTreeSet;

use super::row::{Form, Half, Load, Row, Slope};
use crate::plot::{Picture, Series};

/// The planned number of routers.
pub const PLANNED: f64 = 16_000.0;

/// Formats a figure with three to four significant digits; `never` where it is not finite.
pub fn short(value: f64) -> String {
    let size = value.abs();
    match () {
        () if !value.is_finite() => "never".to_string(),
        () if size == 0.0 => "0".to_string(),
        () if size >= 1e9 => format!("{:.3}G", value / 1e9),
        () if size >= 1e6 => format!("{:.3}M", value / 1e6),
        () if size >= 1e4 => format!("{:.2}k", value / 1e3),
        () if size >= 100.0 => format!("{value:.0}"),
        () if size >= 1.0 => format!("{value:.2}"),
        () if size >= 0.001 => format!("{value:.4}"),
        () => format!("{value:.2e}"),
    }
}

fn half(half: Half) -> &'static str {
    match half {
        Half::Virtual => "virtual",
        Half::Alone => "one member",
        Half::Part => "part",
        Half::SocketsReal => "real",
        Half::SocketsHollow => "hollow",
    }
}

fn load_and_form(form: Form, load: &Load) -> String {
    match form {
        Form::Flat => load_name(load),
        Form::Summary => format!("{}, summed up", load_name(load)),
    }
}

fn load_name(load: &Load) -> String {
    match load.fault.as_str() {
        "" => format!("{} purges/s", load.purges),
        fault => format!("{} purges/s, {fault}", load.purges),
    }
}

/// A table of the medians by size: a line for each measure, half and load.
pub fn medians(rows: &[Row]) -> String {
    let mut out = String::new();
    let mut kinds: Vec<(Half, &str)> = Vec::new();
    for row in rows {
        if !kinds.contains(&(row.half, &row.of)) {
            kinds.push((row.half, &row.of));
        }
    }
    for (kind, of) in kinds {
        let here: Vec<&Row> = rows.iter().filter(|row| row.half == kind && row.of == of).collect();
        let sizes: BTreeSet<u64> = here.iter().map(|row| row.size as u64).collect();
        let named: Vec<String> = sizes.iter().map(u64::to_string).collect();
        out += &format!("\n| {}: {of} | load | unit | {} |\n", half(kind), named.join(" | "));
        out += &format!("| --- | --- | --- |{}\n", " --- |".repeat(sizes.len()));
        let mut lines: Vec<(&str, String)> = Vec::new();
        for row in &here {
            let line = (row.measure.as_str(), load_and_form(row.form, &row.load));
            if !lines.contains(&line) {
                lines.push(line);
            }
        }
        lines.sort_by_key(|(measure, _)| here.iter().position(|row| row.measure == *measure));
        for (measure, load_name) in lines {
            let of = |size: &u64| {
                let fits = |row: &&&Row| {
                    row.measure == measure
                        && load_and_form(row.form, &row.load) == load_name
                        && row.size as u64 == *size
                };
                match here.iter().find(fits) {
                    Some(row) => row.median.map_or("never".to_string(), short),
                    None => String::new(),
                }
            };
            let unit = here.iter().find(|row| row.measure == measure).map_or("", |row| row.unit.as_str());
            let cells: Vec<String> = sizes.iter().map(of).collect();
            out += &format!("| {measure} | {load_name} | {unit} | {} |\n", cells.join(" | "));
        }
    }
    out
}

/// A table of the slopes, extrapolated to the planned size.
pub fn slopes(slopes: &[Slope]) -> String {
    let mut out = "\n| measure | where | load | sizes | slope (19 in 20) | exponent (19 in 20) | growth | at 16,000: line, power | run |\n".to_string();
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for slope in slopes {
        let fit = &slope.fit;
        let (line, power) = fit.at(PLANNED);
        let planned = match (slope.of.as_str(), power) {
            ("routers", Some(power)) => format!("{}, {}", short(line), short(power)),
            ("routers", None) => short(line),
            _ => String::new(),
        };
        let exponent = fit.power.map_or(String::new(), |power| {
            format!("{:.2} ({:.2} to {:.2})", power.slope, power.low, power.high)
        });
        out += &format!(
            "| {} | {} | {} | {} to {} {} | {} {} ({} to {}) | {exponent} | {} | {planned} | {} |\n",
            slope.measure,
            half(slope.half),
            load_and_form(slope.form, &slope.load),
            fit.from,
            fit.to,
            slope.of,
            short(fit.line.slope),
            slope.unit,
            short(fit.line.low),
            short(fit.line.high),
            fit.growth().name(),
            slope.run,
        );
    }
    out
}

/// A chart over the number of routers for each measure: a line for each half and load.
pub fn pictures(rows: &[Row]) -> Vec<Picture> {
    let mut measures: Vec<(&str, &str)> = Vec::new();
    for row in rows.iter().filter(|row| row.of == "routers" && row.load.fault.is_empty()) {
        let measure = (row.measure.as_str(), row.unit.as_str());
        if !measures.contains(&measure) {
            measures.push(measure);
        }
    }
    let picture = |(measure, unit): (&str, &str)| {
        let here = |row: &&Row| row.measure == measure && row.of == "routers" && row.load.fault.is_empty();
        let mut series: Vec<Series> = Vec::new();
        for row in rows.iter().filter(here) {
            let name = match row.half {
                Half::Alone => half(row.half).to_string(),
                _ => format!("{}, {}", half(row.half), load_and_form(row.form, &row.load)),
            };
            let point = row.median.map(|median| (row.size, median, row.worst.map(|worst| (median, worst))));
            let Some(point) = point.filter(|(_, median, _)| *median > 0.0) else { continue };
            match series.iter_mut().find(|series| series.name == name) {
                Some(series) => series.points.push(point),
                None => series.push(Series { name, points: vec![point] }),
            }
        }
        Picture {
            title: format!("{measure}, by router"),
            x: "routers".to_string(),
            y: unit.to_string(),
            series,
            marks: Vec::new(),
            log: (true, true),
        }
    };
    measures.into_iter().map(picture).filter(|picture| !picture.series.is_empty()).collect()
}
