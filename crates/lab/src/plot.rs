//! Owns the pictures: the part served in time, second by second, for each variant, with the faults marked.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    BLACK, WHITE,
};

use crate::experiment::Experiment;
use crate::play::Played;

/// The mean over seeds, by second.
fn by_second(played: &[Played], variant: &str) -> Vec<f64> {
    let all: Vec<&Vec<f64>> =
        played.iter().filter(|one| one.row.variant == variant).map(|one| &one.by_second).collect();
    let longest = all.iter().map(|list| list.len()).max().unwrap_or(0);
    let at = |n: usize| {
        let values: Vec<f64> = all.iter().filter_map(|list| list.get(n).copied()).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    (0..longest).map(at).collect()
}

/// An SVG of it.
pub fn service(experiment: &Experiment, played: &[Played]) -> Result<String, Box<dyn std::error::Error>> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let seconds = experiment.plan.seconds;
        let mut chart = ChartBuilder::on(&area)
            .caption("served in time, by the second in which it was asked", ("sans-serif", 18).into_font())
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..seconds, 0.0..1.05)?;
        chart.configure_mesh().x_desc("second").y_desc("part").light_line_style(WHITE).draw()?;
        for (at, _) in &experiment.plan.faults {
            let line = LineSeries::new([(*at, 0.0), (*at, 1.05)], BLACK.mix(0.15));
            chart.draw_series(line)?;
        }
        for (n, (name, _)) in experiment.variants.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let points = by_second(played, name).into_iter().enumerate().map(|(n, part)| (n as f64, part));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK.mix(0.3))
            .background_style(WHITE.mix(0.85))
            .draw()?;
        area.present()?;
    }
    Ok(text)
}
