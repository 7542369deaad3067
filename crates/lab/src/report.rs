//! Reports: one self-contained HTML page of one or several outcomes side by side, plots drawn as SVG; JSON beside it.

use crate::tally::{Clock, Outcome, TimeBucket};
use plotters::prelude::*;
use std::fmt::Write;

/// Why a plot could not be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

const SIZE: (u32, u32) = (900, 240);
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
];
const SHADE: RGBColor = RGBColor(150, 120, 60);

type Series<'a> = (&'a str, Box<dyn Fn(&TimeBucket) -> f64 + 'a>);

/// One plot over the time of a run; what went wrong when is shaded.
fn plot(
    outcome: &Outcome,
    title: &str,
    unit: &str,
    log: bool,
    series: &[Series],
) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let seconds = |n: usize| n as f64 * outcome.bucket_width as f64 / 1e6;
        let ends = seconds(outcome.buckets.len()).max(1.0);
        let values = series
            .iter()
            .flat_map(|(_, of)| outcome.buckets.iter().map(of));
        let most = values.fold(0.0, f64::max).max(if log { 10.0 } else { 1.0 }) * 1.1;
        let caption = (format!("{title} ({unit})"), ("sans-serif", 15).into_font());
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(caption.0, caption.1)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(62);
        macro_rules! draw {
            ($chart:expr, $low:expr) => {{
                let mut chart = $chart;
                chart
                    .configure_mesh()
                    .x_desc("s")
                    .x_labels(12)
                    .y_labels(6)
                    .light_line_style(WHITE)
                    .draw()?;
                for spell in &outcome.spells {
                    let (from, until) = (
                        spell.from as f64 / 1e6,
                        (spell.until as f64 / 1e6).min(ends),
                    );
                    let shade =
                        Rectangle::new([(from, $low), (until, most)], SHADE.mix(0.10).filled());
                    chart.draw_series(std::iter::once(shade))?;
                }
                for ((name, of), colour) in series.iter().zip(COLOURS) {
                    let points = outcome
                        .buckets
                        .iter()
                        .enumerate()
                        .map(|(n, c)| (seconds(n), of(c).max($low)));
                    chart
                        .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
                        .label(*name)
                        .legend(move |(x, y)| {
                            PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2))
                        });
                }
                let style = chart.configure_series_labels();
                let mut style = style;
                style
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.3))
                    .draw()?;
            }};
        }
        match log {
            true => draw!(
                builder.build_cartesian_2d(0.0..ends, (0.1..most).log_scale())?,
                0.1
            ),
            false => draw!(builder.build_cartesian_2d(0.0..ends, 0.0..most)?, 0.0),
        }
        area.present()?;
    }
    Ok(svg)
}

fn plots(outcome: &Outcome) -> Result<String, PlotError> {
    let a_second = 1e6 / outcome.bucket_width as f64;
    let rate = |of: fn(&TimeBucket) -> u64| move |c: &TimeBucket| of(c) as f64 * a_second;
    let traffic: [Series; 3] = [
        ("due", Box::new(rate(|c| c.due))),
        ("served", Box::new(rate(|c| c.served))),
        ("calls", Box::new(rate(|c| c.calls))),
    ];
    let latency: [Series; 2] = [
        ("p50", Box::new(|c| c.p50 as f64 / 1e3)),
        ("p99", Box::new(|c| c.p99 as f64 / 1e3)),
    ];
    let out: [Series; 1] = [("calls out", Box::new(|c| c.calls_out as f64))];
    let outcomes: [Series; 4] = [
        ("good", Box::new(rate(|c| c.good))),
        ("refused", Box::new(rate(|c| c.refused))),
        ("failed", Box::new(rate(|c| c.failed))),
        (
            "deferred, written off",
            Box::new(rate(|c| c.rejected + c.failed_messages)),
        ),
    ];
    Ok([
        plot(outcome, "Traffic", "a second", false, &traffic)?,
        plot(outcome, "Time from due to served", "ms", true, &latency)?,
        plot(outcome, "Calls in flight", "calls", false, &out)?,
        plot(outcome, "Outcomes", "a second", false, &outcomes)?,
    ]
    .concat())
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// What a table row shows of an outcome.
type Row = (&'static str, fn(&Outcome) -> String);

const ROWS: [Row; 20] = [
    ("clock", |o| {
        if o.clock == Clock::Simulated {
            "simulated".into()
        } else {
            "sockets".into()
        }
    }),
    ("seed", |o| o.seed.to_string()),
    ("forwarder", |o| o.subject.clone()),
    ("packets due", |o| o.counts.due.to_string()),
    ("served", |o| format!("{:.4}", o.served_share())),
    ("service (share of the worth)", |o| {
        format!("{:.4}", o.service)
    }),
    ("served by the first trip", |o| {
        format!("{:.4}", o.first_attempt_share())
    }),
    ("calls a packet", |o| {
        format!("{:.3}", o.calls_per_message())
    }),
    ("p50, p99, p99.9 ms", |o| {
        let ms = |v: u64| v as f64 / 1e3;
        format!(
            "{:.1}, {:.1}, {:.1}",
            ms(o.latency.p50),
            ms(o.latency.p99),
            ms(o.latency.p999)
        )
    }),
    ("written off", |o| o.counts.written_off.to_string()),
    ("deferrals", |o| o.counts.rejections.to_string()),
    ("given up by clients", |o| o.counts.given_up.to_string()),
    ("gone with a folder", |o| o.counts.gone.to_string()),
    ("open at the end", |o| o.counts.open.to_string()),
    ("calls, probes", |o| {
        format!("{}, {}", o.counts.calls, o.counts.health_checks)
    }),
    ("outcomes of calls", |o| {
        o.counts
            .outcomes
            .iter()
            .map(|(n, c)| format!("{n} {c}"))
            .collect::<Vec<_>>()
            .join(", ")
    }),
    ("targets pushed over, blamed or not", |o| {
        o.falls.to_string()
    }),
    ("rules broken", |o| match o.broken.is_empty() {
        true => "none".into(),
        false => o
            .broken
            .iter()
            .map(|(r, n)| format!("{r} {n}"))
            .collect::<Vec<_>>()
            .join(", "),
    }),
    ("load tool, receivers late at p99, us", |o| match o.clock {
        Clock::Simulated => "-".into(),
        Clock::Sockets => format!("{}, {}", o.load_late, o.receivers_late),
    }),
    ("verdict", |o| match (o.misses().is_empty(), &o.void) {
        (_, Some(_)) => "void".into(),
        (true, _) => "as expected".into(),
        _ => "misses what is expected".into(),
    }),
];

/// The page. Runs stand side by side; where both clocks played the same, the difference is told in figures.
pub fn html(outcomes: &[Outcome]) -> Result<String, PlotError> {
    let title = outcomes.first().map_or("nothing", |o| o.scenario.as_str());
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:14px/1.4 sans-serif;margin:2em auto;max-width:1000px;color:#222}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;padding:2px 8px;text-align:left}}\
         svg{{display:block;margin:.6em 0}}.bad{{color:#a00}}</style></head><body><h1>{0}</h1>\n",
        escaped(title)
    );
    let put = |page: &mut String, text: String| page.push_str(&text);
    if let Some(first) = outcomes.first() {
        put(&mut page, format!("<p>{}</p>\n", escaped(&first.shows)));
    }
    page.push_str("<table>\n");
    for (name, of) in ROWS {
        let cells: String = outcomes
            .iter()
            .map(|o| format!("<td>{}</td>", escaped(&of(o))))
            .collect();
        put(&mut page, format!("<tr><th>{name}</th>{cells}</tr>\n"));
    }
    page.push_str("</table>\n");
    for outcome in outcomes {
        let clock = if outcome.clock == Clock::Simulated {
            "Simulated"
        } else {
            "On sockets"
        };
        put(
            &mut page,
            format!(
                "<h2>{clock}, seed {}, {}</h2>\n",
                outcome.seed,
                escaped(&outcome.subject)
            ),
        );
        let misses = outcome.misses();
        if !misses.is_empty() {
            page.push_str("<ul class=\"bad\">");
            misses
                .iter()
                .for_each(|m| put(&mut page, format!("<li>{}</li>", escaped(m))));
            page.push_str("</ul>\n");
        }
        page.push_str(&plots(outcome)?);
        if !outcome.spells.is_empty() {
            page.push_str(
                "<table><tr><th>went wrong (shaded)</th><th>from s</th><th>until s</th></tr>\n",
            );
            for s in &outcome.spells {
                let (from, until) = (s.from as f64 / 1e6, s.until as f64 / 1e6);
                put(
                    &mut page,
                    format!(
                        "<tr><td>{}</td><td>{from:.1}</td><td>{until:.1}</td></tr>\n",
                        escaped(&s.what)
                    ),
                );
            }
            page.push_str("</table>\n");
        }
        if !outcome.breaks.is_empty() {
            page.push_str(
                "<table class=\"bad\"><tr><th>rule</th><th>at s</th><th>what</th></tr>\n",
            );
            for b in &outcome.breaks {
                let at = b.at as f64 / 1e6;
                put(
                    &mut page,
                    format!(
                        "<tr><td>{}</td><td>{at:.3}</td><td>{}</td></tr>\n",
                        b.rule,
                        escaped(&b.what)
                    ),
                );
            }
            page.push_str("</table>\n");
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// The same figures in words, for a terminal.
pub fn text(outcome: &Outcome) -> String {
    let mut text = format!("{}: {}\n", outcome.scenario, outcome.shows);
    for (name, of) in ROWS {
        let _ = writeln!(text, "  {name:<38}{}", of(outcome)); // writing to a string can't fail
    }
    for miss in outcome.misses() {
        let _ = writeln!(text, "  MISSED: {miss}");
    }
    for b in outcome.breaks.iter().take(5) {
        let _ = writeln!(
            text,
            "  {} at {:.3} s: {}",
            b.rule,
            b.at as f64 / 1e6,
            b.what
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiments::simulate;
    use crate::scenario::Scenario;
    use crate::subject::ForwarderVariant;

    #[test]
    fn the_page_holds_everything_itself_and_escapes_what_it_is_given() {
        let text = "version = 1\nname = \"a <b> & c\"\nshows = \"s\"\nlasts = \"5s\"\n[[destinations]]\nname = \"d\"\nrate = 50.0\n\
             service = { kind = \"constant\", time = \"20ms\" }\n[[loads]]\nrate = 20.0\n[[troubles]]\nat = \"1s\"\n\
             lasts = \"1s\"\nwhat = { kind = \"silent\" }\n";
        let scenario = Scenario::read(text, "s").expect("it is right");
        let outcomes = [1, 2].map(|seed| {
            simulate(&scenario, seed, ForwarderVariant::SecondAnswer).expect("it runs")
        });
        let page = html(&outcomes).expect("it is drawn");
        assert_eq!(page.matches("<svg").count(), 8);
        assert!(page.contains("a &lt;b&gt; &amp; c") && !page.contains("<b>"));
        for outside in ["src=", "href=", "@import", "<script"] {
            assert!(!page.contains(outside), "{outside}");
        }
        assert!(page.contains("silent"));
    }
}
