//! Plots of an outcome over the time of its run, as SVG.

use crate::tally::{Outcome, TimeBucket};
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Why a plot could not be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 240);
/// Colours of the series of a plot, in their order; no plot has more series than there are colours.
const SERIES_COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
];
/// Colour of the background during a fault.
const FAULT_SHADE: RGBColor = RGBColor(150, 120, 60);
/// Lower end of a logarithmic axis. Smaller values are drawn at this value.
const LOG_AXIS_MIN: f64 = 0.1;

/// One line of a plot: its name in the legend and its value in a time bucket.
type Series<'a> = (&'a str, Box<dyn Fn(&TimeBucket) -> f64 + 'a>);

/// One plot of an outcome over the time of its run.
struct Plot<'a> {
    outcome: &'a Outcome,
    title: &'a str,
    unit: &'a str,
    /// Whether the axis of values is logarithmic.
    is_logarithmic: bool,
    series: &'a [Series<'a>],
}

/// Renders all plots of an outcome as consecutive SVG elements.
pub(super) fn plots(outcome: &Outcome) -> Result<String, PlotError> {
    let buckets_per_second = 1e6 / outcome.bucket_width as f64;
    let rate = |count_of: fn(&TimeBucket) -> u64| {
        move |bucket: &TimeBucket| count_of(bucket) as f64 * buckets_per_second
    };
    let traffic: [Series; 3] = [
        ("due", Box::new(rate(|bucket| bucket.due))),
        ("served", Box::new(rate(|bucket| bucket.served))),
        ("calls", Box::new(rate(|bucket| bucket.calls))),
    ];
    let latency: [Series; 2] = [
        ("p50", Box::new(|bucket| bucket.p50 as f64 / 1e3)),
        ("p99", Box::new(|bucket| bucket.p99 as f64 / 1e3)),
    ];
    let in_flight: [Series; 1] = [(
        "calls in flight",
        Box::new(|bucket| bucket.calls_out as f64),
    )];
    let outcomes: [Series; 4] = [
        ("succeeded", Box::new(rate(|bucket| bucket.good))),
        ("refused", Box::new(rate(|bucket| bucket.refused))),
        ("failed", Box::new(rate(|bucket| bucket.failed))),
        (
            "messages rejected or failed",
            Box::new(rate(|bucket| bucket.rejected + bucket.failed_messages)),
        ),
    ];
    let plot = |title, unit, is_logarithmic, series| Plot {
        outcome,
        title,
        unit,
        is_logarithmic,
        series,
    };
    Ok([
        plot("Traffic", "per second", false, &traffic).svg()?,
        plot("Time from due to served", "ms", true, &latency).svg()?,
        plot("Calls in flight", "calls", false, &in_flight).svg()?,
        plot("Outcomes", "per second", false, &outcomes).svg()?,
    ]
    .concat())
}

impl Plot<'_> {
    fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area())?;
        Ok(svg)
    }

    fn draw(&self, area: DrawingArea<SVGBackend, Shift>) -> Result<(), PlotError> {
        area.fill(&WHITE)?;
        let (time_axis_end_s, value_axis_max) = (self.time_axis_end_s(), self.value_axis_max());
        let caption = format!("{} ({})", self.title, self.unit);
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(caption, ("sans-serif", 15).into_font())
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(62);
        if self.is_logarithmic {
            let values = (LOG_AXIS_MIN..value_axis_max).log_scale();
            self.draw_chart(
                builder.build_cartesian_2d(0.0..time_axis_end_s, values)?,
                LOG_AXIS_MIN,
            )?;
        } else {
            self.draw_chart(
                builder.build_cartesian_2d(0.0..time_axis_end_s, 0.0..value_axis_max)?,
                0.0,
            )?;
        }
        area.present()
    }

    /// Returns when a time bucket begins, in seconds from the start of the run.
    fn bucket_start_s(&self, bucket: usize) -> f64 {
        bucket as f64 * self.outcome.bucket_width as f64 / 1e6
    }

    /// Returns the end of the time axis, in seconds; at least 1.
    fn time_axis_end_s(&self) -> f64 {
        self.bucket_start_s(self.outcome.buckets.len()).max(1.0)
    }

    /// Returns the upper end of the axis of values: a tenth above the largest value, or above a minimum if that is larger.
    fn value_axis_max(&self) -> f64 {
        let buckets = &self.outcome.buckets;
        let series = self.series.iter();
        let values = series.flat_map(|(_, value)| buckets.iter().map(value));
        let min_axis_max = if self.is_logarithmic { 10.0 } else { 1.0 };
        values.fold(0.0, f64::max).max(min_axis_max) * 1.1
    }

    /// Draws the mesh, the shaded faults, the series and the legend. `value_axis_min` is the lower end of the axis of
    /// values; smaller values are drawn there.
    fn draw_chart<'c, 'b: 'c, Y>(
        &self,
        mut chart: ChartContext<'c, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>,
        value_axis_min: f64,
    ) -> Result<(), PlotError>
    where
        Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        chart
            .configure_mesh()
            .x_desc("s")
            .x_labels(12)
            .y_labels(6)
            .light_line_style(WHITE)
            .draw()?;
        for period in &self.outcome.spells {
            let from_s = period.from as f64 / 1e6;
            let until_s = (period.until as f64 / 1e6).min(self.time_axis_end_s());
            let corners = [(from_s, value_axis_min), (until_s, self.value_axis_max())];
            let rectangle = Rectangle::new(corners, FAULT_SHADE.mix(0.10).filled());
            chart.draw_series(std::iter::once(rectangle))?;
        }
        for ((name, value), colour) in self.series.iter().zip(SERIES_COLOURS) {
            let buckets = self.outcome.buckets.iter().enumerate();
            let points = buckets.map(|(index, bucket)| {
                (
                    self.bucket_start_s(index),
                    value(bucket).max(value_axis_min),
                )
            });
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
                .label(*name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
    }
}
