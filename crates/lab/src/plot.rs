//! Charts as SVG: lines with intervals, marked faults and a legend.
//!
//! Drawing computes no figures: rows are averaged by [`crate::compare`].

use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::{
    ChartBuilder, Circle, Color, DrawingBackend, IntoDrawingArea, IntoFont, IntoLogRange, LineSeries,
    Palette, Palette99, PathElement, RGBAColor, Rectangle, SVGBackend, Text, BLACK, WHITE,
};

use crate::compare::{against, figure, of, points, variants, Estimate};
use crate::faults::format_number;
use crate::rows::{Header, Row, QUANTILES};

type DrawError = Box<dyn std::error::Error>;

/// x, y, and the interval of y where it is known.
pub type Point = (f64, f64, Option<(f64, f64)>);

/// A line with its name in the legend.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    pub name: String,
    pub points: Vec<Point>,
}

/// A line chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Picture {
    pub title: String,
    pub x: String,
    pub y: String,
    pub series: Vec<Series>,
    /// Events, such as faults, that are marked at a value of x.
    pub marks: Vec<(f64, String)>,
    /// Whether the x axis and the y axis are logarithmic.
    pub log: (bool, bool),
}

const SIZE: (u32, u32) = (940, 400);
const LEGEND: u32 = 190;

impl Picture {
    /// Renders the chart as SVG.
    pub fn svg(&self) -> Result<String, DrawError> {
        let mut text = String::new();
        {
            let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let (left, right) = area.split_horizontally(SIZE.0 - LEGEND);
            let (x, y) = (self.range(|p| p.0, self.log.0), self.range(|p| p.1, self.log.1));
            let top = |(low, high): (f64, f64)| (low, high + (high - low) * 0.05);
            let base = |(low, high): (f64, f64)| (low.min(0.0), high);
            match self.log {
                (false, false) => {
                    let y = top(base(y));
                    self.draw(&left, x.0..x.1, y.0..y.1)?;
                }
                (true, false) => {
                    let y = top(base(y));
                    self.draw(&left, (x.0..x.1).log_scale(), y.0..y.1)?;
                }
                (false, true) => self.draw(&left, x.0..x.1, (y.0..y.1 * 1.2).log_scale())?,
                (true, true) => self.draw(&left, (x.0..x.1).log_scale(), (y.0..y.1 * 1.2).log_scale())?,
            }
            for (n, series) in self.series.iter().enumerate() {
                let at = 40 + 20 * n as i32;
                right.draw(&Rectangle::new([(2, at), (20, at + 3)], colour(n).filled()))?;
                let name: String = series.name.chars().take(26).collect();
                right.draw(&Text::new(name, (26, at - 5), ("sans-serif", 13).into_font()))?;
            }
            if !self.marks.is_empty() {
                let at = 50 + 20 * self.series.len() as i32;
                right.draw(&Rectangle::new([(2, at), (20, at + 2)], BLACK.mix(0.35).filled()))?;
                let text = match self.marks.as_slice() {
                    [(_, one)] => one.clone(),
                    many => format!("{} faults", many.len()),
                };
                right.draw(&Text::new(text, (26, at - 5), ("sans-serif", 13).into_font()))?;
            }
            area.present()?;
        }
        Ok(text)
    }

    /// Minimum and maximum, never equal; on a logarithmic axis of positive values alone.
    fn range(&self, of: impl Fn(&Point) -> f64, log: bool) -> (f64, f64) {
        let all = self.series.iter().flat_map(|series| &series.points).map(of);
        let all: Vec<f64> = all.filter(|value| value.is_finite() && (!log || *value > 0.0)).collect();
        let low = all.iter().copied().fold(f64::INFINITY, f64::min);
        let high = all.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        match (low <= high, low < high) {
            (false, _) => (if log { 0.1 } else { 0.0 }, 1.0),
            (true, false) => {
                (if log { low / 2.0 } else { low - 0.5 }, if log { low * 2.0 } else { low + 0.5 })
            }
            (true, true) => (low, high),
        }
    }

    fn draw<'a, X, Y>(
        &self,
        area: &plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
        x: X,
        y: Y,
    ) -> Result<(), DrawError>
    where
        X: AsRangedCoord<Value = f64>,
        Y: AsRangedCoord<Value = f64>,
        X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
        Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
        <SVGBackend<'a> as DrawingBackend>::ErrorType: 'static,
    {
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 17).into_font())
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(62)
            .build_cartesian_2d(x, y)?;
        let short = |value: &f64| format_number(*value);
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .x_label_formatter(&short)
            .y_label_formatter(&short)
            .light_line_style(WHITE)
            .draw()?;
        let (bottom, height) = self.range(|p| p.1, self.log.1);
        let bottom = if self.log.1 { bottom } else { bottom.min(0.0) };
        for (at, _) in &self.marks {
            chart.draw_series(LineSeries::new([(*at, bottom), (*at, height)], BLACK.mix(0.25)))?;
        }
        for (n, series) in self.series.iter().enumerate() {
            let colour = colour(n);
            let fits = |value: f64| !self.log.1 || value > 0.0;
            let points: Vec<(f64, f64)> =
                series.points.iter().map(|(x, y, _)| (*x, *y)).filter(|(_, y)| fits(*y)).collect();
            if points.len() <= 30 {
                chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
            }
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            let bars = series.points.iter().filter_map(|(x, _, bar)| bar.map(|(low, high)| (*x, low, high)));
            let bars = bars.filter(|(_, low, _)| fits(*low));
            chart.draw_series(bars.map(|(x, low, high)| {
                PathElement::new(vec![(x, low), (x, high)], colour.mix(0.6).stroke_width(2))
            }))?;
        }
        Ok(())
    }
}

fn colour(n: usize) -> RGBAColor {
    Palette99::pick(n).to_rgba()
}

/// The mean over seeds of a row's values by second.
fn by_second(
    rows: &[Row],
    variant: &str,
    point: Option<f64>,
    get: impl Fn(&Row) -> Vec<f64>,
    limit: usize,
) -> Vec<Point> {
    let all: Vec<Vec<f64>> = of(rows, variant, point).map(get).collect();
    let longest = all.iter().map(Vec::len).max().unwrap_or(0).min(limit);
    let at = |n: usize| {
        let values: Vec<f64> = all.iter().filter_map(|list| list.get(n).copied()).collect();
        (n as f64, values.iter().sum::<f64>() / values.len().max(1) as f64, None)
    };
    (0..longest).map(at).collect()
}

fn title_with_point(title: &str, setting: Option<&str>, point: Option<f64>) -> String {
    match (setting, point) {
        (Some(setting), Some(point)) => format!("{title}, {setting} = {}", format_number(point)),
        _ => title.to_string(),
    }
}

/// The charts of a file of rows: those for each point of a sweep, and those over the sweep.
pub fn pictures(header: &Header, rows: &[Row]) -> Vec<Picture> {
    let names = variants(rows);
    let setting = header.setting.as_deref();
    let mut out = Vec::new();
    let seconds = header.seconds.ceil() as usize;
    if points(rows).len() > 1 {
        out.extend(over_sweep(header, rows));
    }
    for point in points(rows) {
        let each = |get: &dyn Fn(&str) -> Vec<Point>| -> Vec<Series> {
            names.iter().map(|name| Series { name: name.to_string(), points: get(name) }).collect()
        };
        let share = |row: &Row| row.by_second.iter().map(|share| f64::from(*share)).collect();
        out.push(Picture {
            title: title_with_point("served in time, by second of the first request", setting, point),
            x: "second".to_string(),
            y: "share".to_string(),
            series: each(&|name| by_second(rows, name, point, share, seconds)),
            marks: header.faults.clone(),
            log: (false, false),
        });
        let origin = |row: &Row| row.origin_by_second.iter().map(|n| f64::from(*n)).collect();
        out.push(Picture {
            title: title_with_point("requests that reached the origin", setting, point),
            x: "second".to_string(),
            y: "requests a second".to_string(),
            series: each(&|name| by_second(rows, name, point, origin, seconds)),
            marks: header.faults.clone(),
            log: (false, false),
        });
        // The nines of the quantile: 1 for 0.9, 2 for 0.99; the maximum is drawn at 4.
        let nines = |q: f64| if q >= 1.0 { 4.0 } else { -(1.0 - q).log10() };
        let latency = |name: &str| {
            let all: Vec<&Row> = of(rows, name, point).filter(|row| !row.took.is_empty()).collect();
            let mean = |n: usize| all.iter().map(|row| row.took[n]).sum::<f64>() / all.len().max(1) as f64;
            let quantiles = QUANTILES.iter().enumerate().filter(|_| !all.is_empty());
            quantiles.map(|(n, q)| (nines(*q), mean(n), None)).collect()
        };
        out.push(Picture {
            title: title_with_point("latency of served requests", setting, point),
            x: "nines of the quantile (1 = 0.9, 2 = 0.99, 4 = the maximum)".to_string(),
            y: "milliseconds".to_string(),
            series: each(&latency),
            marks: Vec::new(),
            log: (false, true),
        });
    }
    out
}

/// Charts over the values of the swept parameter.
fn over_sweep(header: &Header, rows: &[Row]) -> Vec<Picture> {
    let names = variants(rows);
    let setting = header.setting.clone().unwrap_or_default();
    let all = points(rows);
    let spread = |points: &[Option<f64>]| {
        let values: Vec<f64> = points.iter().flatten().copied().collect();
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        low > 0.0 && values.iter().copied().fold(0.0, f64::max) / low > 15.0
    };
    let log = spread(&all);
    let line = |name: &str, get: &dyn Fn(&str, Option<f64>) -> Option<Estimate>| Series {
        name: name.to_string(),
        points: all
            .iter()
            .filter_map(|point| {
                let found = get(name, *point)?;
                Some(((*point)?, found.mean, Some((found.low, found.high))))
            })
            .collect(),
    };
    let picture = |title: &str, y: &str, series: Vec<Series>| Picture {
        title: title.to_string(),
        x: setting.clone(),
        y: y.to_string(),
        series,
        marks: Vec::new(),
        log: (log, false),
    };
    let over = |title: &str, y: &str, get: fn(&Row) -> f64| {
        let lines = names.iter().map(|name| line(name, &|name, point| figure(rows, name, point, get)));
        picture(title, y, lines.collect())
    };
    let mut out = vec![
        over("served in time", "share", |row| row.in_time),
        over("peak load of the origin", "requests a second", |row| f64::from(row.origin_most)),
        over("99th percentile of the latency", "milliseconds", |row| row.took_at(0.99)),
    ];
    if rows.iter().any(|row| row.back.is_some()) {
        out.push(over("time to recover after the last fault, or to the end", "seconds", |row| {
            row.back.unwrap_or(0.0)
        }));
    }
    if let Some((first, others)) = names.split_first().filter(|(_, others)| !others.is_empty()) {
        let against = |name: &str, point| against(rows, (name, first), point, |row| row.in_time);
        let lines = others.iter().map(|name| line(name, &against)).collect();
        out.push(picture(
            &format!("served in time, compared with {first}, paired by seed"),
            "difference",
            lines,
        ));
    }
    out
}
