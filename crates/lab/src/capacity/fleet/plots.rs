//! Plots of a run over simulated time, as SVG.

use super::plan::SECOND;
use super::report::{FleetOutcome, SecondCounts};
use crate::report::PlotError;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of each of the two plots, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 240);

/// One line of a plot, with its name in the legend.
struct Series<'a> {
    name: &'a str,
    colour: RGBColor,
    /// Returns the value of the line for one second of the run.
    value: Box<dyn Fn(&SecondCounts) -> f64 + 'a>,
}

/// Draws two plots: the control bytes that a forwarder receives, and the arrivals, deliveries and attempts on destinations
/// that are down, over the whole fleet. Returns the text of the SVG file.
pub(super) fn plot(outcome: &FleetOutcome) -> Result<String, PlotError> {
    let forwarders = f64::from(outcome.plan.forwarders);
    let per_forwarder = |bytes: u64| bytes as f64 / forwarders;
    let control = [
        series("gossip in", BLUE, |counts| {
            per_forwarder(counts.gossip_in_bytes)
        }),
        series("list in", RED, |counts| per_forwarder(counts.list_in_bytes)),
    ];
    let messages = [
        series("arrived", BLACK, |counts| counts.arrived as f64),
        series("delivered", BLUE, |counts| counts.delivered as f64),
        series("attempts on ones that are down", RED, |counts| {
            counts.attempts_while_down as f64
        }),
    ];
    let mut svg = String::new();
    {
        let area =
            SVGBackend::with_string(&mut svg, (PLOT_SIZE.0, 2 * PLOT_SIZE.1)).into_drawing_area();
        area.fill(&WHITE)?;
        let (upper, lower) = area.split_vertically(PLOT_SIZE.1);
        let caption = "control of one forwarder (bytes a second)";
        draw(&upper, outcome, caption, &control)?;
        draw(&lower, outcome, "the fleet (a second)", &messages)?;
        area.present()?;
    }
    Ok(svg)
}

fn series<'a>(
    name: &'a str,
    colour: RGBColor,
    value: impl Fn(&SecondCounts) -> f64 + 'a,
) -> Series<'a> {
    Series {
        name,
        colour,
        value: Box::new(value),
    }
}

/// Draws one plot into `area`.
fn draw(
    area: &DrawingArea<SVGBackend, Shift>,
    outcome: &FleetOutcome,
    caption: &str,
    series: &[Series],
) -> Result<(), PlotError> {
    let per_second_counts = &outcome.per_second_counts;
    let values = series.iter().flat_map(|series| {
        per_second_counts
            .iter()
            .map(|counts| (series.value)(counts))
    });
    let max_value = values.fold(1.0, f64::max) * 1.1;
    let end_seconds = outcome.plan.end() as f64 / SECOND as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 14))
        .margin(6)
        .x_label_area_size(26)
        .y_label_area_size(62)
        .build_cartesian_2d(0.0..end_seconds, 0.0..max_value)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .light_line_style(WHITE)
        .draw()?;
    for Series {
        name,
        colour,
        value,
    } in series
    {
        let points = per_second_counts.iter().enumerate();
        let points = points.map(|(second, counts)| ((second + 1) as f64, value(counts)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
            .label(*name)
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], *colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}
