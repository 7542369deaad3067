//! The plots of an outcome over the time of its run, as SVG.

use crate::tally::{Outcome, TimeBucket};
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Why a plot could not be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// Width and height of a plot, pixels.
const SIZE: (u32, u32) = (900, 240);
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
];
/// Behind the time of a fault.
const SHADE: RGBColor = RGBColor(150, 120, 60);
/// The lowest value of a logarithmic axis.
const LOG_LOW: f64 = 0.1;

/// One line of a plot: its name and its value in a time bucket.
type Series<'a> = (&'a str, Box<dyn Fn(&TimeBucket) -> f64 + 'a>);

/// One plot over the time of a run.
struct Plot<'a> {
    outcome: &'a Outcome,
    title: &'a str,
    unit: &'a str,
    /// The values stand on a logarithmic axis.
    log: bool,
    series: &'a [Series<'a>],
}

/// All plots of an outcome.
pub(super) fn plots(outcome: &Outcome) -> Result<String, PlotError> {
    let buckets_a_second = 1e6 / outcome.bucket_width as f64;
    let rate = |of: fn(&TimeBucket) -> u64| move |b: &TimeBucket| of(b) as f64 * buckets_a_second;
    let traffic: [Series; 3] = [
        ("due", Box::new(rate(|bucket| bucket.due))),
        ("served", Box::new(rate(|bucket| bucket.served))),
        ("calls", Box::new(rate(|bucket| bucket.calls))),
    ];
    let latency: [Series; 2] = [
        ("p50", Box::new(|bucket| bucket.p50 as f64 / 1e3)),
        ("p99", Box::new(|bucket| bucket.p99 as f64 / 1e3)),
    ];
    let in_flight: [Series; 1] = [("calls out", Box::new(|bucket| bucket.calls_out as f64))];
    let outcomes: [Series; 4] = [
        ("good", Box::new(rate(|bucket| bucket.good))),
        ("refused", Box::new(rate(|bucket| bucket.refused))),
        ("failed", Box::new(rate(|bucket| bucket.failed))),
        (
            "deferred, written off",
            Box::new(rate(|bucket| bucket.rejected + bucket.failed_messages)),
        ),
    ];
    let plot = |title, unit, log, series| Plot {
        outcome,
        title,
        unit,
        log,
        series,
    };
    Ok([
        plot("Traffic", "a second", false, &traffic).svg()?,
        plot("Time from due to served", "ms", true, &latency).svg()?,
        plot("Calls in flight", "calls", false, &in_flight).svg()?,
        plot("Outcomes", "a second", false, &outcomes).svg()?,
    ]
    .concat())
}

impl Plot<'_> {
    fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(SVGBackend::with_string(&mut svg, SIZE).into_drawing_area())?;
        Ok(svg)
    }

    fn draw(&self, area: DrawingArea<SVGBackend, Shift>) -> Result<(), PlotError> {
        area.fill(&WHITE)?;
        let (ends, high) = (self.ends(), self.high());
        let caption = format!("{} ({})", self.title, self.unit);
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(caption, ("sans-serif", 15).into_font())
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(62);
        if self.log {
            let values = (LOG_LOW..high).log_scale();
            self.draw_chart(builder.build_cartesian_2d(0.0..ends, values)?, LOG_LOW)?;
        } else {
            self.draw_chart(builder.build_cartesian_2d(0.0..ends, 0.0..high)?, 0.0)?;
        }
        area.present()
    }

    /// When a time bucket begins, s.
    fn seconds(&self, bucket: usize) -> f64 {
        bucket as f64 * self.outcome.bucket_width as f64 / 1e6
    }

    /// The end of the time axis, s.
    fn ends(&self) -> f64 {
        self.seconds(self.outcome.buckets.len()).max(1.0)
    }

    /// The top of the axis of values.
    fn high(&self) -> f64 {
        let buckets = &self.outcome.buckets;
        let series = self.series.iter();
        let values = series.flat_map(|(_, value)| buckets.iter().map(value));
        let least = if self.log { 10.0 } else { 1.0 };
        values.fold(0.0, f64::max).max(least) * 1.1
    }

    /// Draws mesh, faults, lines and names; `low` is the lowest value that the axis shows.
    fn draw_chart<'c, 'b: 'c, Y>(
        &self,
        mut chart: ChartContext<'c, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>,
        low: f64,
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
            let from = period.from as f64 / 1e6;
            let until = (period.until as f64 / 1e6).min(self.ends());
            let corners = [(from, low), (until, self.high())];
            let shade = Rectangle::new(corners, SHADE.mix(0.10).filled());
            chart.draw_series(std::iter::once(shade))?;
        }
        for ((name, value), colour) in self.series.iter().zip(COLOURS) {
            let buckets = self.outcome.buckets.iter().enumerate();
            let points =
                buckets.map(|(number, bucket)| (self.seconds(number), value(bucket).max(low)));
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
