//! Tables of figures by size, the least-squares slope of each figure, and how they are shown: as text, JSON and SVG.

use super::outputs::Outputs;
use crate::capacity::error::CapacityError;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt;

const PANEL: (u32, u32) = (420, 220); // pixels, one plot
const PANELS_A_ROW: usize = 2;
const POINT: u32 = 3; // pixels, radius of a measured point

/// One figure that is measured at each size.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub name: String,
    pub unit: String,
}

/// The figures at one size, in the order of the table's figures.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub size: f64,
    pub values: Vec<f64>,
}

/// A straight line through measured points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Units of the figure for one more of the size.
    pub slope: f64,
    /// What the line says at size 0.
    pub intercept: f64,
    /// The part of the variance that the line explains, 0 to 1.
    pub fit: f64,
}

impl Slope {
    /// None for fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Slope> {
        let count = points.len() as f64;
        let (mean_x, mean_y) = (
            points.iter().map(|p| p.0).sum::<f64>() / count,
            points.iter().map(|p| p.1).sum::<f64>() / count,
        );
        let sum = |of: &dyn Fn(f64, f64) -> f64| {
            points
                .iter()
                .map(|p| of(p.0 - mean_x, p.1 - mean_y))
                .sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        if xx.is_nan() || xx <= 0.0 {
            return None;
        }
        let slope = xy / xx;
        let fit = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        Some(Slope {
            slope,
            intercept: mean_y - slope * mean_x,
            fit,
        })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Figures by size.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    pub title: String,
    /// What the size counts.
    pub size: String,
    pub figures: Vec<Figure>,
    pub rows: Vec<Row>,
    /// By figure; none where fewer than two sizes were measured.
    pub slopes: Vec<Option<Slope>>,
}

impl Table {
    pub fn new(title: &str, size: &str, figures: &[(&str, &str)], rows: Vec<Row>) -> Table {
        // A figure that was not reached at a size is not a number, and no point.
        let points = |n: usize| -> Vec<(f64, f64)> {
            rows.iter()
                .map(|r| (r.size, r.values[n]))
                .filter(|(_, value)| value.is_finite())
                .collect()
        };
        let slopes = (0..figures.len())
            .map(|n| Slope::through(&points(n)))
            .collect();
        let figures = figures
            .iter()
            .map(|(name, unit)| Figure {
                name: (*name).into(),
                unit: (*unit).into(),
            })
            .collect();
        Table {
            title: title.into(),
            size: size.into(),
            figures,
            rows,
            slopes,
        }
    }

    /// The slope of a figure, by its name.
    pub fn slope(&self, name: &str) -> Option<Slope> {
        let place = self.figures.iter().position(|f| f.name == name)?;
        self.slopes[place]
    }
}

/// A number with four digits that count, for people.
fn short(value: f64) -> String {
    match value.abs() {
        _ if value.is_nan() => "-".into(),
        0.0 => "0".into(),
        v if v >= 1e6 => format!("{value:.3e}"),
        v if v >= 1000.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.2}"),
        v if v >= 1e-3 => format!("{value:.5}"),
        _ => format!("{value:.3e}"),
    }
}

/// One line a figure, one column a size: sizes are few, figures many.
impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        write!(f, "  {:<44}", self.size)?;
        self.rows
            .iter()
            .try_for_each(|r| write!(f, "{:>12}", r.size))?;
        writeln!(f, "{:>14}{:>12}{:>7}", "slope", "at 0", "fit")?;
        for (place, figure) in self.figures.iter().enumerate() {
            write!(f, "  {:<44}", format!("{}, {}", figure.name, figure.unit))?;
            self.rows
                .iter()
                .try_for_each(|r| write!(f, "{:>12}", short(r.values[place])))?;
            match self.slopes[place] {
                Some(s) => writeln!(
                    f,
                    "{:>14}{:>12}{:>7.3}",
                    short(s.slope),
                    short(s.intercept),
                    s.fit
                )?,
                None => writeln!(f)?,
            }
        }
        Ok(())
    }
}

/// One plot a figure: the points as measured and the line through them.
pub fn plot(tables: &[Table]) -> Result<String, CapacityError> {
    let panels: Vec<(&Table, usize)> = tables
        .iter()
        .flat_map(|t| (0..t.figures.len()).map(move |n| (t, n)))
        .collect();
    let rows = panels.len().div_ceil(PANELS_A_ROW).max(1);
    let mut svg = String::new();
    {
        let size = (PANEL.0 * PANELS_A_ROW as u32, PANEL.1 * rows as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        for ((table, place), panel) in panels.iter().zip(area.split_evenly((rows, PANELS_A_ROW))) {
            let figure = &table.figures[*place];
            let all = table.rows.iter().map(|r| (r.size, r.values[*place]));
            let points: Vec<(f64, f64)> = all.filter(|(_, value)| value.is_finite()).collect();
            let widest = points.iter().map(|p| p.0).fold(1.0, f64::max);
            let slope = table.slopes[*place];
            let ends: Vec<(f64, f64)> = slope
                .iter()
                .flat_map(|s| [0.0, widest].map(|x| (x, s.at(x))))
                .collect();
            let values = || points.iter().chain(&ends).map(|p| p.1);
            let (low, high) = (values().fold(0.0, f64::min), values().fold(0.0, f64::max));
            let high = if high > low {
                high + 0.1 * (high - low)
            } else {
                low + 1.0
            };
            let mut chart = ChartBuilder::on(&panel)
                .caption(
                    format!("{} ({})", figure.name, figure.unit),
                    ("sans-serif", 13),
                )
                .margin(6)
                .x_label_area_size(34)
                .y_label_area_size(62)
                .build_cartesian_2d(0.0..widest * 1.05, low..high)?;
            let mesh = &mut chart.configure_mesh();
            mesh.x_desc(&table.size)
                .x_labels(6)
                .y_labels(5)
                .light_line_style(WHITE)
                .draw()?;
            chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(1)))?;
            let dots = points.iter().map(|p| Circle::new(*p, POINT, RED.filled()));
            chart.draw_series(dots)?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Prints the tables and writes them where they were asked for.
pub fn show(tables: &[Table], outputs: &Outputs) -> Result<(), CapacityError> {
    tables.iter().for_each(|table| println!("{table}"));
    let write = |path: &std::path::Path, text: String| {
        std::fs::write(path, text).map_err(CapacityError::file(path))
    };
    if let Some(path) = &outputs.json {
        write(path, serde_json::to_string_pretty(tables)? + "\n")?;
    }
    if let Some(path) = &outputs.plot {
        write(path, plot(tables)?)?;
    }
    Ok(())
}
