//! The report: one self-contained HTML file with the table and charts of a file of rows.

use crate::compare::table;
use crate::plot::pictures;
use crate::rows::{Header, Row};

/// Escapes HTML markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the page.
pub fn html(header: &Header, rows: &[Row]) -> Result<String, String> {
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n<style>\nbody {{ font: 15px sans-serif; \
         margin: 2em auto; max-width: 980px; }}\npre {{ overflow-x: auto; background: #f6f6f6; padding: 1em; }}\n\
         svg {{ max-width: 100%; height: auto; }}\n</style></head><body>\n<h1>{0}</h1>\n",
        escape(&header.title)
    );
    let seeds: std::collections::BTreeSet<u64> = rows.iter().map(|row| row.seed).collect();
    out += &format!(
        "<p>{} runs of {} s, {} seeds; build {}, experiment {}. Simulated: routers are \
         the shipped decision module or a baseline policy, all else is modelled.</p>\n<pre>{}</pre>\n",
        rows.len(),
        header.seconds,
        seeds.len(),
        header.build,
        header.experiment,
        escape(&table(rows, header.setting.as_deref()))
    );
    for picture in pictures(header, rows) {
        out += &picture.svg().map_err(|why| why.to_string())?;
        out += "\n";
    }
    if !header.faults.is_empty() {
        out += "<h2>Faults</h2>\n<pre>";
        for (at, what) in &header.faults {
            out += &format!("{at:>9.3} s  {}\n", escape(what));
        }
        out += "</pre>\n";
    }
    out += "</body></html>\n";
    Ok(out)
}
