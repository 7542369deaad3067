//! Tables of figures by size with a least-squares line per figure, and their output as text, JSON and SVG.

use super::outputs::Outputs;
use crate::capacity::error::CapacityError;
use crate::report::PlotError;
use plotters::coord::Shift;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt;

/// Width and height of one plot, in pixels.
const PLOT_SIZE: (u32, u32) = (420, 220);
const PLOTS_PER_ROW: usize = 2;
/// Radius of the marker of a measured point, in pixels.
const POINT_RADIUS: u32 = 3;

/// The description of a figure that is measured at each size.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name of the figure, unique in its table.
    pub name: String,
    /// Unit of the values, which may be empty.
    pub unit: String,
}

/// The values measured at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The size, in the unit that [`Table::size`] names.
    pub size: f64,
    /// One value per figure, in the order of [`Table::figures`]; NaN if the figure could not be measured.
    pub values: Vec<f64>,
}

/// A straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Increase of the figure when the size grows by one.
    pub slope: f64,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance that the line explains, 0 to 1.
    pub fit: f64,
}

impl LinearFit {
    /// Fits a line to points of size and value; returns `None` for fewer than two distinct sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<LinearFit> {
        let count = points.len() as f64;
        let (mean_x, mean_y) = (
            points.iter().map(|p| p.0).sum::<f64>() / count,
            points.iter().map(|p| p.1).sum::<f64>() / count,
        );
        let sum = |term: &dyn Fn(f64, f64) -> f64| {
            points
                .iter()
                .map(|p| term(p.0 - mean_x, p.1 - mean_y))
                .sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        if xx.is_nan() || xx <= 0.0 {
            return None;
        }
        let slope = xy / xx;
        let fit = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        Some(LinearFit {
            slope,
            intercept: mean_y - slope * mean_x,
            fit,
        })
    }

    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Values of several figures at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// Names what was measured and under which conditions.
    pub title: String,
    /// What the size counts.
    pub size: String,
    /// Descriptions of the figures, in the order of the values of each row.
    pub figures: Vec<Figure>,
    /// One row per size.
    pub rows: Vec<Row>,
    /// One line per figure, in the order of `figures`; `None` if the figure was measured at fewer than two sizes.
    pub slopes: Vec<Option<LinearFit>>,
}

impl Table {
    /// Creates a table and fits a line to each figure. `figures` holds a name and a unit for each value of a row.
    pub fn new(title: &str, size: &str, figures: &[(&str, &str)], rows: Vec<Row>) -> Table {
        // A figure that could not be measured at a size is NaN there and does not enter the fit.
        let points = |index: usize| -> Vec<(f64, f64)> {
            rows.iter()
                .map(|row| (row.size, row.values[index]))
                .filter(|(_, value)| value.is_finite())
                .collect()
        };
        let slopes = (0..figures.len())
            .map(|index| LinearFit::through(&points(index)))
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

    /// Returns the line of the figure with this name, or `None` if there is no such figure or no line for it.
    pub fn slope(&self, name: &str) -> Option<LinearFit> {
        let index = self.figures.iter().position(|f| f.name == name)?;
        self.slopes[index]
    }
}

/// Formats a number with about four significant digits; NaN becomes a dash.
fn format_short(value: f64) -> String {
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

/// Writes one line per figure and one column per size, since a table has few sizes and many figures.
impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        write!(f, "  {:<44}", self.size)?;
        for row in &self.rows {
            write!(f, "{:>12}", row.size)?;
        }
        writeln!(f, "{:>14}{:>12}{:>7}", "slope", "at 0", "fit")?;
        for (index, figure) in self.figures.iter().enumerate() {
            write!(f, "  {:<44}", format!("{}, {}", figure.name, figure.unit))?;
            for row in &self.rows {
                write!(f, "{:>12}", format_short(row.values[index]))?;
            }
            match self.slopes[index] {
                Some(line) => writeln!(
                    f,
                    "{:>14}{:>12}{:>7.3}",
                    format_short(line.slope),
                    format_short(line.intercept),
                    line.fit
                )?,
                None => writeln!(f)?,
            }
        }
        Ok(())
    }
}

/// Renders an SVG image with one plot per figure, which shows the measured points and the line fitted to them.
pub fn render_plots(tables: &[Table]) -> Result<String, PlotError> {
    let plots: Vec<(&Table, usize)> = tables
        .iter()
        .flat_map(|table| (0..table.figures.len()).map(move |figure| (table, figure)))
        .collect();
    let rows = plots.len().div_ceil(PLOTS_PER_ROW).max(1);
    let size = (
        PLOT_SIZE.0 * PLOTS_PER_ROW as u32,
        PLOT_SIZE.1 * rows as u32,
    );
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        let areas = area.split_evenly((rows, PLOTS_PER_ROW));
        for ((table, figure), plot_area) in plots.into_iter().zip(areas) {
            draw_plot(table, figure, &plot_area)?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Draws the plot of the figure at `figure_index` in the table.
fn draw_plot(
    table: &Table,
    figure_index: usize,
    area: &DrawingArea<SVGBackend, Shift>,
) -> Result<(), PlotError> {
    let rows = table
        .rows
        .iter()
        .map(|row| (row.size, row.values[figure_index]));
    let points: Vec<(f64, f64)> = rows.filter(|(_, value)| value.is_finite()).collect();
    let largest_size = points.iter().map(|(size, _)| *size).fold(1.0, f64::max);
    let line = table.slopes[figure_index].iter();
    let line_ends: Vec<(f64, f64)> = line
        .flat_map(|line| [0.0, largest_size].map(|size| (size, line.value_at(size))))
        .collect();
    let (min, max) = axis_range(points.iter().chain(&line_ends).map(|(_, value)| *value));
    let Figure { name, unit } = &table.figures[figure_index];
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{name} ({unit})"), ("sans-serif", 13))
        .margin(6)
        .x_label_area_size(34)
        .y_label_area_size(62)
        .build_cartesian_2d(0.0..largest_size * 1.05, min..max)?;
    chart
        .configure_mesh()
        .x_desc(&table.size)
        .x_labels(6)
        .y_labels(5)
        .light_line_style(WHITE)
        .draw()?;
    chart.draw_series(LineSeries::new(line_ends, BLUE.stroke_width(1)))?;
    let markers = points
        .iter()
        .map(|point| Circle::new(*point, POINT_RADIUS, RED.filled()));
    chart.draw_series(markers)?;
    Ok(())
}

/// Returns the bounds of an axis that includes 0 and all values, with a margin above them; never empty.
fn axis_range(values: impl Iterator<Item = f64> + Clone) -> (f64, f64) {
    let min = values.clone().fold(0.0, f64::min);
    let max = values.fold(0.0, f64::max);
    if max > min {
        (min, max + 0.1 * (max - min))
    } else {
        (min, min + 1.0)
    }
}

/// Prints the tables and writes the output files that are named. Fails if a file can't be written or a plot can't be
/// drawn.
pub fn write_tables(tables: &[Table], outputs: &Outputs) -> Result<(), CapacityError> {
    for table in tables {
        println!("{table}");
    }
    let write = |path: &std::path::Path, text: String| {
        std::fs::write(path, text).map_err(CapacityError::file(path))
    };
    if let Some(path) = &outputs.json {
        write(path, serde_json::to_string_pretty(tables)? + "\n")?;
    }
    if let Some(path) = &outputs.plot {
        write(path, render_plots(tables)?)?;
    }
    Ok(())
}
