//! The command line of `capacity fleet`, and how one run is shown.

use super::plan::{FullDestinations, Incident, Plan, SECOND};
use super::report::{FleetOutcome, MeanAndWorst};
use crate::capacity::error::CapacityError;
use crate::capacity::outputs::Outputs;
use crate::capacity::slope::{Row, Table};
use clap::Args;
use plotters::prelude::*;
use std::path::Path;

/// Messages a second of one forwarder where the fleet's are not named.
const EVENTS_A_FORWARDER: f64 = 200.0;
const PLOT: (u32, u32) = (900, 240); // pixels, each of the two plots

#[derive(Args, Clone, Debug)]
pub struct Options {
    #[arg(long, default_value_t = 400)]
    pub forwarders: u32,
    /// Each with one target
    #[arg(long, default_value_t = 8_000)]
    pub destinations: u32,
    /// Simulated time, s
    #[arg(long, default_value_t = 60)]
    pub seconds: u32,
    /// Messages a second for the whole fleet; 200 a forwarder where it is not named
    #[arg(long)]
    pub events_a_second: Option<f64>,
    /// Part of the destinations that is down at any time
    #[arg(long, default_value_t = 0.041)]
    pub down_share: f64,
    /// Mean length of an outage, s
    #[arg(long, default_value_t = 60.0)]
    pub outage_seconds: f64,
    /// Part of the destinations that gets more than it takes
    #[arg(long, default_value_t = 0.004)]
    pub at_limit_share: f64,
    /// Exponent of Zipf's law over the destinations
    #[arg(long, default_value_t = 0.8)]
    pub skew: f64,
    /// Changes of configuration
    #[arg(long, default_value_t = 430.0)]
    pub changes_a_day: f64,
    /// From a quarter to half of the run
    #[arg(long, value_enum, default_value_t = Incident::None)]
    pub event: Incident,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Destinations that a forwarder holds in full before it holds idle ones as summaries; `all` for no such bound
    #[arg(long, value_name = "all|N", default_value_t = FullDestinations::Beyond(1_024))]
    pub full_destinations: FullDestinations,
    /// Forwarders that the settings name, to see the measurement fail
    #[arg(long)]
    pub configured_forwarders: Option<u32>,
    /// The run is the same with any number
    #[arg(long, default_value_t = 2)]
    pub threads: usize,
    #[command(flatten)]
    pub outputs: Outputs,
}

impl Options {
    pub fn plan(&self) -> Plan {
        let each = EVENTS_A_FORWARDER * f64::from(self.forwarders);
        Plan {
            forwarders: self.forwarders,
            destinations: self.destinations,
            seconds: self.seconds,
            events_a_second: self.events_a_second.unwrap_or(each),
            down_share: self.down_share,
            outage_seconds: self.outage_seconds,
            at_limit_share: self.at_limit_share,
            skew: self.skew,
            changes_a_day: self.changes_a_day,
            incident: self.event,
            seed: self.seed,
            full_destinations: self.full_destinations,
            configured_forwarders: self.configured_forwarders,
        }
    }
}

/// Plays one run and shows it. The error is told to the person in these words.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    let outcome = super::run(&options.plan(), options.threads)?;
    println!("{}", table(&outcome));
    println!(
        "  held in full before idle ones are summarised: {}",
        outcome.plan.full_destinations
    );
    show_changes(&outcome);
    let write =
        |path: &Path, text: String| std::fs::write(path, text).map_err(CapacityError::file(path));
    if let Some(path) = &options.outputs.json {
        write(path, serde_json::to_string_pretty(&outcome)? + "\n")?;
    }
    if let Some(path) = &options.outputs.plot {
        write(path, plot(&outcome)?)?;
    }
    Ok(())
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// The figures of a run, one line each.
pub fn table(outcome: &FleetOutcome) -> Table {
    let (plan, counts, measured) = (&outcome.plan, &outcome.counts, &outcome.measured);
    let (messages, receivers, rates) = (
        &counts.messages,
        &counts.receivers,
        &counts.control_bytes_a_second,
    );
    let (worst, each) = (
        receivers.worst,
        f64::from(plan.forwarders) * f64::from(plan.seconds),
    );
    let mut figures: Vec<(String, &str, f64)> = Vec::new();
    let mut say =
        |name: &str, unit: &'static str, value: f64| figures.push((name.into(), unit, value));
    say("forwarders", "", plan.forwarders.into());
    say("simulated time", "s", plan.seconds.into());
    say(
        "messages to the fleet",
        "a second",
        ratio(messages.arrived, plan.seconds.into()),
    );
    let mut both = |name: &str, unit, value: MeanAndWorst| {
        say(&format!("{name}, mean"), unit, value.mean);
        say(&format!("{name}, worst forwarder"), unit, value.worst);
    };
    both("control, in and out", "bytes a second", rates.all);
    both("gossip in", "bytes a second", rates.gossip_in);
    both("gossip out", "bytes a second", rates.gossip_out);
    both("list in", "bytes a second", rates.list_in);
    both("list out", "bytes a second", rates.list_out);
    let states = &counts.states;
    both("destinations held in full", "at the end", states.full);
    both("most held in full at once", "", states.most_full);
    both(
        "idle targets held as summaries",
        "at the end",
        states.summaries,
    );
    both("  of these with a bound in force", "", states.bounds);
    both("destinations restored", "each", states.restored);
    for work in &measured.work {
        let kind = format!("{:?}", work.kind).to_lowercase();
        let what = format!("processor, {kind} events");
        if work.events_a_second > 0.0 {
            both(&what, "of a core", work.core_share);
        }
    }
    for work in &measured.work {
        let kind = format!("{:?}", work.kind).to_lowercase();
        say(
            &format!("{kind} events"),
            "a second, each",
            work.events_a_second,
        );
        say(
            &format!("one of the {kind} events"),
            "µs",
            work.microseconds_an_event,
        );
    }
    let first_list = ratio(
        counts.control.first_list_in.wire_bytes,
        plan.forwarders.into(),
    );
    say("whole list at the start", "bytes, each", first_list);
    say(
        "resident after the start",
        "bytes, each",
        measured.resident_a_forwarder_at_start,
    );
    say(
        "resident at the end",
        "bytes, each",
        measured.resident_a_forwarder_at_end,
    );
    say(
        "attempts",
        "a second, each",
        messages.attempts as f64 / each,
    );
    say("probes", "a second, each", messages.probes as f64 / each);
    let down = receivers.calls_while_down + receivers.probes_while_down;
    let another = receivers.calls_another_knew + receivers.probes_another_knew;
    let only_others = receivers.calls_only_others_knew + receivers.probes_only_others_knew;
    let sent = receivers.calls + receivers.probes;
    say(
        "of attempts and probes: to ones that are down",
        "share",
        ratio(down, sent),
    );
    say(
        "  which another forwarder knew",
        "share",
        ratio(another, sent),
    );
    say(
        "  which only others knew",
        "share",
        ratio(only_others, sent),
    );
    say(
        "attempts refused with retry-after",
        "share",
        ratio(receivers.refused_full, receivers.calls),
    );
    say(
        "calls to an address that was left",
        "",
        receivers.calls_to_old_address as f64,
    );
    let due = messages.due_to_up + messages.due_to_down;
    let in_time = messages.in_time_to_up + messages.in_time_to_down;
    say(
        "within the latency target, of all",
        "share",
        ratio(in_time, due),
    );
    say(
        "  to ones that were up",
        "share",
        ratio(messages.in_time_to_up, messages.due_to_up),
    );
    say(
        "  to ones that were down",
        "share",
        ratio(messages.in_time_to_down, messages.due_to_down),
    );
    say("failed", "share", ratio(messages.failed, messages.arrived));
    say(
        "rejected",
        "share",
        ratio(messages.rejected, messages.arrived),
    );
    say("destinations that came back", "", receivers.returns as f64);
    say(
        "  over their budget N",
        "",
        receivers.returns_over_budget as f64,
    );
    say(
        "  over N + 2 sqrt(N) + 2",
        "",
        receivers.returns_over_allowed as f64,
    );
    say(
        "    and two thirds from ones that had met the outage",
        "",
        receivers.returns_pushed_over as f64,
    );
    say(
        "  the worst of them: calls",
        "",
        worst.map_or(0.0, |w| w.calls as f64),
    );
    say(
        "  of these from ones that had met the outage",
        "",
        worst.map_or(0.0, |w| w.from_witnesses as f64),
    );
    say("  its budget N", "", worst.map_or(0.0, |w| w.budget));
    say(
        "  its N + 2 sqrt(N) + 2",
        "",
        worst.map_or(0.0, |w| w.allowed),
    );
    say("attempts lost in a cut", "", counts.attempts_lost as f64);
    say(
        "gossip lost in a cut",
        "datagrams",
        counts.gossip_lost as f64,
    );
    say("wall time", "s", measured.wall_seconds);
    say("  of it the start", "s", measured.start_seconds);
    let names: Vec<(&str, &str)> = figures
        .iter()
        .map(|(name, unit, _)| (name.as_str(), *unit))
        .collect();
    let values = figures.iter().map(|(_, _, value)| *value).collect();
    let rows = vec![Row {
        size: plan.destinations.into(),
        values,
    }];
    Table::new("a fleet of hollow forwarders", "destinations", &names, rows)
}

fn show_changes(outcome: &FleetOutcome) {
    let say = |value: Option<f64>| value.map_or("-".to_owned(), |seconds| format!("{seconds:.2}"));
    for change in &outcome.counts.changes {
        println!(
            "  change made at {:.2} s: in force after {} s at half, {} s at the last (first region {}, second {}), missing at {}",
            change.made_at,
            say(change.median),
            say(change.last),
            say(change.last_by_region[0]),
            say(change.last_by_region[1]),
            change.missing
        );
    }
}

/// Two plots over the time of the run: control bytes that a forwarder takes in, and what becomes of the messages.
fn plot(outcome: &FleetOutcome) -> Result<String, CapacityError> {
    type Series<'a> = (&'a str, RGBColor, Box<dyn Fn(usize) -> f64 + 'a>);
    let (columns, forwarders) = (&outcome.columns, f64::from(outcome.plan.forwarders));
    let each = |bytes: u64| bytes as f64 / forwarders;
    let control: [Series; 2] = [
        (
            "gossip in",
            BLUE,
            Box::new(|n| each(columns[n].gossip_in_bytes)),
        ),
        ("list in", RED, Box::new(|n| each(columns[n].list_in_bytes))),
    ];
    let messages: [Series; 3] = [
        ("arrived", BLACK, Box::new(|n| columns[n].arrived as f64)),
        ("delivered", BLUE, Box::new(|n| columns[n].delivered as f64)),
        (
            "attempts on ones that are down",
            RED,
            Box::new(|n| columns[n].attempts_while_down as f64),
        ),
    ];
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (PLOT.0, 2 * PLOT.1)).into_drawing_area();
        area.fill(&WHITE)?;
        let parts = area.split_evenly((2, 1));
        let captions = [
            "control of one forwarder (bytes a second)",
            "the fleet (a second)",
        ];
        for ((part, caption), series) in parts
            .iter()
            .zip(captions)
            .zip([&control[..], &messages[..]])
        {
            let values = series
                .iter()
                .flat_map(|(_, _, of)| (0..columns.len()).map(of));
            let most = values.fold(1.0, f64::max) * 1.1;
            let ends = outcome.plan.end() as f64 / SECOND as f64;
            let mut chart = ChartBuilder::on(part)
                .caption(caption, ("sans-serif", 14))
                .margin(6)
                .x_label_area_size(26)
                .y_label_area_size(62)
                .build_cartesian_2d(0.0..ends, 0.0..most)?;
            chart
                .configure_mesh()
                .x_desc("s")
                .light_line_style(WHITE)
                .draw()?;
            for (name, colour, of) in series {
                let points = (0..columns.len()).map(|n| ((n + 1) as f64, of(n)));
                let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(1)))?;
                drawn
                    .label(*name)
                    .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], *colour));
            }
            let mut labels = chart.configure_series_labels();
            labels
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}
