//! Formats the figures of a run as a table with one line for each figure.

use super::report::{Counts, FleetOutcome, MeanAndWorst, Measurements};
use crate::capacity::table::{Row, Table};

/// Returns `part` as a fraction of `total`, or 0 if both are 0.
fn ratio(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}

/// One line of the table.
struct Figure {
    /// Leading spaces mark a figure that details an earlier one.
    name: String,
    /// Empty for a plain count.
    unit: &'static str,
    value: f64,
}

/// Collects the figures in the order in which the table shows them.
#[derive(Default)]
struct Figures {
    all: Vec<Figure>,
}

impl Figures {
    /// Adds one figure.
    fn add(&mut self, name: &str, unit: &'static str, value: f64) {
        self.all.push(Figure {
            name: name.into(),
            unit,
            value,
        });
    }

    /// Adds two figures: the mean over the forwarders and the value of the worst forwarder.
    fn add_mean_and_worst(&mut self, name: &str, unit: &'static str, value: MeanAndWorst) {
        self.add(&format!("{name}, mean"), unit, value.mean);
        self.add(&format!("{name}, worst forwarder"), unit, value.worst);
    }
}

/// Builds the table of a run's figures.
pub fn table(outcome: &FleetOutcome) -> Table {
    let (plan, counts, measured) = (&outcome.plan, &outcome.counts, &outcome.measured);
    let mut figures = Figures::default();
    figures.add("forwarders", "", plan.forwarders.into());
    figures.add("simulated time", "s", plan.seconds.into());
    figures.add(
        "messages to the fleet",
        "a second",
        ratio(counts.messages.arrived, plan.seconds.into()),
    );
    add_control(&mut figures, counts);
    add_work(&mut figures, measured);
    let first_list = ratio(
        counts.control.first_list_in.wire_bytes,
        plan.forwarders.into(),
    );
    figures.add("whole list at the start", "bytes, each", first_list);
    add_memory(&mut figures, measured);
    let forwarder_seconds = f64::from(plan.forwarders) * f64::from(plan.seconds);
    add_attempts(&mut figures, counts, forwarder_seconds);
    add_messages(&mut figures, counts);
    add_recoveries(&mut figures, counts);
    add_losses(&mut figures, counts);
    figures.add("wall time", "s", measured.wall_seconds);
    figures.add("  of it the start", "s", measured.start_seconds);
    let named = figures.all.iter();
    let names: Vec<(&str, &str)> = named
        .map(|figure| (figure.name.as_str(), figure.unit))
        .collect();
    let row = Row {
        size: plan.destinations.into(),
        values: figures.all.iter().map(|figure| figure.value).collect(),
    };
    Table::new(
        "a fleet of hollow forwarders",
        "destinations",
        &names,
        vec![row],
    )
}

/// Adds the control traffic of a forwarder and the number of destinations that its core holds.
fn add_control(figures: &mut Figures, counts: &Counts) {
    let rates = &counts.control_bytes_a_second;
    figures.add_mean_and_worst("control, in and out", "bytes a second", rates.all);
    figures.add_mean_and_worst("gossip in", "bytes a second", rates.gossip_in);
    figures.add_mean_and_worst("gossip out", "bytes a second", rates.gossip_out);
    figures.add_mean_and_worst("list in", "bytes a second", rates.list_in);
    figures.add_mean_and_worst("list out", "bytes a second", rates.list_out);
    let states = &counts.states;
    figures.add_mean_and_worst("destinations held in full", "at the end", states.full);
    figures.add_mean_and_worst("most held in full at once", "", states.most_full);
    figures.add_mean_and_worst(
        "idle targets held as summaries",
        "at the end",
        states.summaries,
    );
    figures.add_mean_and_worst("  of these with a bound in force", "", states.bounds);
    figures.add_mean_and_worst("destinations restored", "each", states.restored);
}

/// Adds the attempts and the gossip that a partition lost.
fn add_losses(figures: &mut Figures, counts: &Counts) {
    figures.add("attempts lost in a cut", "", counts.attempts_lost as f64);
    figures.add(
        "gossip lost in a cut",
        "datagrams",
        counts.gossip_lost as f64,
    );
}

/// Adds the resident memory for each forwarder.
fn add_memory(figures: &mut Figures, measured: &Measurements) {
    figures.add(
        "resident after the start",
        "bytes, each",
        measured.resident_a_forwarder_at_start,
    );
    figures.add(
        "resident at the end",
        "bytes, each",
        measured.resident_a_forwarder_at_end,
    );
}

/// Adds the number of events and the processor time by kind of event.
fn add_work(figures: &mut Figures, measured: &Measurements) {
    for work in &measured.work {
        let kind = format!("{:?}", work.kind).to_lowercase();
        let what = format!("processor, {kind} events");
        if work.events_a_second > 0.0 {
            figures.add_mean_and_worst(&what, "of a core", work.core_share);
        }
    }
    for work in &measured.work {
        let kind = format!("{:?}", work.kind).to_lowercase();
        figures.add(
            &format!("{kind} events"),
            "a second, each",
            work.events_a_second,
        );
        figures.add(
            &format!("one of the {kind} events"),
            "µs",
            work.microseconds_an_event,
        );
    }
}

/// Adds the rates of attempts and health checks, and the shares of them that reached destinations that were down.
fn add_attempts(figures: &mut Figures, counts: &Counts, forwarder_seconds: f64) {
    let (messages, receivers) = (&counts.messages, &counts.receivers);
    figures.add(
        "attempts",
        "a second, each",
        messages.attempts as f64 / forwarder_seconds,
    );
    figures.add(
        "probes",
        "a second, each",
        messages.health_checks as f64 / forwarder_seconds,
    );
    let down = receivers.calls_while_down + receivers.health_checks_while_down;
    let another = receivers.calls_another_knew + receivers.health_checks_another_knew;
    let only_others = receivers.calls_only_others_knew + receivers.health_checks_only_others_knew;
    let sent = receivers.calls + receivers.health_checks;
    figures.add(
        "of attempts and probes: to ones that are down",
        "share",
        ratio(down, sent),
    );
    figures.add(
        "  which another forwarder knew",
        "share",
        ratio(another, sent),
    );
    figures.add(
        "  which only others knew",
        "share",
        ratio(only_others, sent),
    );
    figures.add(
        "attempts refused with retry-after",
        "share",
        ratio(receivers.calls_rate_limited, receivers.calls),
    );
    figures.add(
        "calls to an address that was left",
        "",
        receivers.calls_to_old_address as f64,
    );
}

/// Adds the outcomes of the messages and the shares delivered within the latency target.
fn add_messages(figures: &mut Figures, counts: &Counts) {
    let messages = &counts.messages;
    let eligible = messages.eligible_while_up + messages.eligible_while_down;
    let on_time = messages.on_time_while_up + messages.on_time_while_down;
    figures.add(
        "within the latency target, of all",
        "share",
        ratio(on_time, eligible),
    );
    figures.add(
        "  to ones that were up",
        "share",
        ratio(messages.on_time_while_up, messages.eligible_while_up),
    );
    figures.add(
        "  to ones that were down",
        "share",
        ratio(messages.on_time_while_down, messages.eligible_while_down),
    );
    figures.add("failed", "share", ratio(messages.failed, messages.arrived));
    figures.add(
        "rejected",
        "share",
        ratio(messages.rejected, messages.arrived),
    );
    figures.add("faults of the core", "", messages.core_errors as f64);
}

/// Adds the recoveries of destinations and the load that they received, compared with their budget.
fn add_recoveries(figures: &mut Figures, counts: &Counts) {
    let receivers = &counts.receivers;
    let worst = receivers.worst;
    figures.add(
        "destinations that came back",
        "",
        receivers.recoveries as f64,
    );
    figures.add(
        "  over their budget N",
        "",
        receivers.recoveries_over_budget as f64,
    );
    figures.add(
        "  over N + 2 sqrt(N) + 2",
        "",
        receivers.recoveries_over_limit as f64,
    );
    figures.add(
        "    and two thirds from ones that had met the outage",
        "",
        receivers.recoveries_overloaded_by_witnesses as f64,
    );
    figures.add(
        "  the worst of them: calls",
        "",
        worst.map_or(0.0, |w| w.calls as f64),
    );
    figures.add(
        "  of these from ones that had met the outage",
        "",
        worst.map_or(0.0, |w| w.from_witnesses as f64),
    );
    figures.add("  its budget N", "", worst.map_or(0.0, |w| w.budget));
    figures.add(
        "  its N + 2 sqrt(N) + 2",
        "",
        worst.map_or(0.0, |w| w.allowed),
    );
}
