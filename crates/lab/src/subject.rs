//! What a simulated forwarder is: the true core, or one that is broken on purpose so that the oracle has something to catch.
//! `broken` holds what the broken ones do.

mod broken;

use broken::BrokenForwarder;
use opalpulley::{Action, Config, Event, Forwarder, Micros};

/// Overload multiple of a forwarder that skips slow start: more than any endpoint is sent.
const UNLIMITED_MULTIPLE: f64 = 1e3;

/// One forwarder's decisions: the same signature as the core's.
pub trait Subject: Send {
    /// Handles an event; its actions are added to `actions`.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Subject for Forwarder {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Forwarder::handle(self, now, event, actions);
    }
}

/// Which forwarder stands in the simulated world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ForwarderVariant {
    /// The one in service.
    True,
    /// One attempt for each message: never sends again. A baseline, not broken.
    #[value(name = "one-try")]
    OneAttempt,
    /// Gives each failed or rejected message a second final answer.
    SecondAnswer,
    /// Sends at-most-once messages again after an attempt that may have taken effect.
    #[value(name = "resends-binding")]
    ResendsAtMostOnce,
    /// Ignores that an endpoint drains.
    SendsAfterDrain,
    /// Ignores retry-after times.
    #[value(name = "ignores-waits")]
    IgnoresRetryAfter,
    /// Does not withdraw calls that were decided before a retry-after time or a drain was told.
    #[value(name = "takes-nothing-back")]
    WithdrawsNothing,
    /// Gives one message in ten no final answer.
    #[value(name = "loses-packets")]
    LosesMessages,
    /// Sends an endpoint that comes back its whole load at once.
    #[value(name = "pushes-over")]
    SkipsSlowStart,
    /// Ignores order keys.
    #[value(name = "breaks-order")]
    IgnoresOrder,
    /// Sends a message again after it was delivered.
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
    /// Those that the oracle must catch, each with the rule that it breaks.
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

    /// Its name in outcomes and reports: fixed, since outcomes that were written before are compared by it.
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

    /// Builds a forwarder of this variant.
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
