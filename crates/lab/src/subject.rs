//! The forwarder under test on the simulated clock: the real core, or a variant with a deliberate fault that the oracle must
//! detect. `broken` implements the variants.

mod broken;

use broken::BrokenForwarder;
use opalpulley::{Action, Config, Event, Forwarder, Micros};

/// Overload multiple of a forwarder that skips slow start. No endpoint is sent this multiple of its capacity, so the limit
/// never binds.
const UNLIMITED_MULTIPLE: f64 = 1e3;

/// A forwarder under test. Has the same interface as the core.
pub trait Subject: Send {
    /// Handles an event at `now`, in µs on the forwarder's clock, and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Subject for Forwarder {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Forwarder::handle(self, now, event, actions);
    }
}

/// The forwarder that a simulated run tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ForwarderVariant {
    /// The real core, without changes.
    True,
    /// Makes one attempt for each message and never retries. A baseline, without a fault.
    #[value(name = "one-try")]
    OneAttempt,
    /// Gives each failed or rejected message a second final answer.
    SecondAnswer,
    /// Retries at-most-once messages after an attempt that may have taken effect.
    #[value(name = "resends-binding")]
    ResendsAtMostOnce,
    /// Sends to draining endpoints.
    SendsAfterDrain,
    /// Ignores retry-after times.
    #[value(name = "ignores-waits")]
    IgnoresRetryAfter,
    /// Doesn't withdraw calls whose endpoint was chosen before the forwarder was notified of a retry-after time or a drain.
    #[value(name = "takes-nothing-back")]
    WithdrawsNothing,
    /// Drops one final answer in ten.
    #[value(name = "loses-packets")]
    LosesMessages,
    /// Sends a readmitted endpoint its full load at once.
    #[value(name = "pushes-over")]
    SkipsSlowStart,
    /// Ignores order keys.
    #[value(name = "breaks-order")]
    IgnoresOrder,
    /// Sends a message again after its delivery.
    SendsAfterEnd,
    /// Sends each call twice.
    SendsTwice,
}

impl std::fmt::Display for ForwarderVariant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = clap::ValueEnum::to_possible_value(self);
        f.write_str(name.as_ref().map_or("true", |name| name.get_name()))
    }
}

impl ForwarderVariant {
    /// Variants that the oracle must detect, each with the name of the rule that it breaks.
    pub const BROKEN: [(ForwarderVariant, &'static str); 9] = [
        (ForwarderVariant::SecondAnswer, "second-final-answer"),
        (ForwarderVariant::ResendsAtMostOnce, "effect-twice"),
        (ForwarderVariant::SendsAfterDrain, "drain-not-kept"),
        (ForwarderVariant::IgnoresRetryAfter, "wait-not-heeded"),
        (ForwarderVariant::LosesMessages, "lost"),
        (ForwarderVariant::SkipsSlowStart, "pushed-over"),
        (ForwarderVariant::IgnoresOrder, "order-not-kept"),
        (ForwarderVariant::SendsAfterEnd, "sent-after-end"),
        (ForwarderVariant::SendsTwice, "two-trips-out"),
    ];

    /// Returns the variant's name in outcomes and reports. The names are fixed: runs are compared with outcomes that were
    /// written before.
    pub fn name_in_outcomes(self) -> &'static str {
        match self {
            ForwarderVariant::True => "True",
            ForwarderVariant::OneAttempt => "OneTry",
            ForwarderVariant::SecondAnswer => "SecondAnswer",
            ForwarderVariant::ResendsAtMostOnce => "ResendsBinding",
            ForwarderVariant::SendsAfterDrain => "SendsAfterDrain",
            ForwarderVariant::IgnoresRetryAfter => "IgnoresWaits",
            ForwarderVariant::WithdrawsNothing => "TakesNothingBack",
            ForwarderVariant::LosesMessages => "LosesPackets",
            ForwarderVariant::SkipsSlowStart => "PushesOver",
            ForwarderVariant::IgnoresOrder => "BreaksOrder",
            ForwarderVariant::SendsAfterEnd => "SendsAfterEnd",
            ForwarderVariant::SendsTwice => "SendsTwice",
        }
    }

    /// Builds a forwarder of this variant. `seed` seeds its random decisions.
    pub fn build(self, mut config: Config, seed: u64) -> Box<dyn Subject> {
        match self {
            ForwarderVariant::True => return Box::new(Forwarder::new(config, seed)),
            ForwarderVariant::OneAttempt => config.max_attempts = 1,
            ForwarderVariant::SkipsSlowStart => {
                config.fleet_size = 1;
                config.may_health_check = false;
                config.rules.overload_multiple = UNLIMITED_MULTIPLE;
                config.rules.warm_up_time = 1;
                config.rules.cold_capacity_share = 1.0;
            }
            _ => {}
        }
        Box::new(BrokenForwarder::new(self, config, seed))
    }
}
