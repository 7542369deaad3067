//! What a simulated forwarder is: the true core, or one that is broken on purpose so that the oracle has something to catch.

use opalpulley::{
    Action, Config, DeliverySemantics, EndpointEntry, EndpointId, EndpointListUpdate,
    EndpointStatus, Event, Forwarder, MessageId, Micros, Outcome,
};
use std::collections::{BTreeMap, BTreeSet};

/// One forwarder's decisions: the same signature as the core's.
pub trait Subject: Send {
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
    /// One try each: never sends again. A baseline, not broken.
    #[value(name = "one-try")]
    OneAttempt,
    /// Gives each written-off or rejected message a second final answer.
    SecondAnswer,
    /// Takes unclear attempts of binding messages for ones that never ran.
    #[value(name = "resends-binding")]
    ResendsAtMostOnce,
    /// Passes over that an endpoint drains.
    SendsAfterDrain,
    /// Passes over the wait that it is told.
    #[value(name = "ignores-waits")]
    IgnoresRetryAfter,
    /// Lets calls go that were chosen before a wait or a drain was told.
    #[value(name = "takes-nothing-back")]
    WithdrawsNothing,
    /// Forgets one message in ten instead of giving it its end.
    #[value(name = "loses-packets")]
    LosesMessages,
    /// Takes a returning endpoint for a warm one.
    #[value(name = "pushes-over")]
    SkipsSlowStart,
    /// Passes over the keys of order.
    #[value(name = "breaks-order")]
    IgnoresOrder,
    /// Sends a message again after it was delivered.
    SendsAfterEnd,
    /// Sends each call twice.
    SendsTwice,
}

// Old name, until the forwarder's tests follow.
pub use ForwarderVariant as Make;

impl std::fmt::Display for ForwarderVariant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = clap::ValueEnum::to_possible_value(self);
        f.write_str(name.as_ref().map_or("true", |n| n.get_name()))
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
                (config.fleet_size, config.may_health_check) = (1, false);
                (
                    config.rules.overload_multiple,
                    config.rules.warm_up_time,
                    config.rules.cold_capacity_share,
                ) = (1e3, 1, 1.0);
            }
            _ => {}
        }
        let effects = config.classes.iter().map(|p| p.semantics).collect();
        let inner = Forwarder::new(config, seed);
        Box::new(BrokenForwarder {
            variant: self,
            inner,
            effects,
            binding: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            ends: 0,
        })
    }
}

struct BrokenForwarder {
    variant: ForwarderVariant,
    inner: Forwarder,
    effects: Vec<DeliverySemantics>,
    binding: BTreeSet<MessageId>, // open binding messages; each leaves with its end
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    ends: u64,
}

impl BrokenForwarder {
    /// What the inner one is told instead.
    fn tamper(&mut self, event: Event) -> Event {
        match (self.variant, event) {
            (ForwarderVariant::IgnoresOrder, Event::Submitted(mut arrival)) => {
                arrival.key = None;
                Event::Submitted(arrival)
            }
            (ForwarderVariant::ResendsAtMostOnce, Event::Submitted(arrival)) => {
                if self.effects.get(usize::from(arrival.class.0))
                    == Some(&DeliverySemantics::AtMostOnce)
                {
                    self.binding.insert(arrival.id);
                }
                Event::Submitted(arrival)
            }
            (
                ForwarderVariant::ResendsAtMostOnce,
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                },
            ) => {
                let unclear = outcome != Outcome::Delivered && outcome.may_have_taken_effect();
                let outcome = if unclear && self.binding.contains(&id) {
                    Outcome::Rejected { retry_after: None }
                } else {
                    outcome
                };
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                ForwarderVariant::IgnoresRetryAfter,
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                },
            ) => {
                let outcome = if let Outcome::Rejected { .. } = outcome {
                    Outcome::Error
                } else {
                    outcome
                };
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                ForwarderVariant::SkipsSlowStart,
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                },
            ) => {
                let bad = matches!(
                    outcome,
                    Outcome::NoConnection | Outcome::Rejected { retry_after: None }
                );
                let outcome = if bad {
                    Outcome::NotAttempted { no_permit: false }
                } else {
                    outcome
                };
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                ForwarderVariant::SendsAfterDrain,
                Event::EndpointList(EndpointListUpdate::Changes(mut entries)),
            ) => {
                entries.retain(|e| {
                    e.status == EndpointStatus::Ready || !self.endpoints.contains_key(&e.endpoint)
                });
                entries
                    .iter()
                    .for_each(|e| _ = self.endpoints.insert(e.endpoint, e.clone()));
                Event::EndpointList(EndpointListUpdate::Changes(entries))
            }
            (
                ForwarderVariant::SendsAfterDrain,
                Event::EndpointList(
                    EndpointListUpdate::Cached(entries) | EndpointListUpdate::Complete(entries),
                ),
            ) => {
                entries
                    .iter()
                    .for_each(|e| _ = self.endpoints.insert(e.endpoint, e.clone()));
                Event::EndpointList(EndpointListUpdate::Complete(
                    self.endpoints.values().cloned().collect(),
                ))
            }
            (_, event) => event,
        }
    }
}

impl Subject for BrokenForwarder {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let delivered = match &event {
            Event::AttemptEnded {
                id,
                endpoint,
                outcome: Outcome::Delivered,
                ..
            } => Some((*id, *endpoint)),
            _ => None,
        };
        let event = self.tamper(event);
        let begin = actions.len();
        self.inner.handle(now, event, actions);
        let done = actions.split_off(begin);
        for action in done {
            let end = match &action {
                Action::Fail { id } | Action::Reject { id, .. } => Some(*id),
                _ => None,
            };
            self.ends += u64::from(end.is_some());
            if let Some(id) = end {
                self.binding.remove(&id);
            }
            match (self.variant, &action) {
                (ForwarderVariant::SecondAnswer, _) if end.is_some() => {
                    actions.push(action.clone())
                }
                (ForwarderVariant::WithdrawsNothing, Action::WithdrawUnsent { .. }) => continue,
                (ForwarderVariant::LosesMessages, _)
                    if end.is_some() && self.ends.is_multiple_of(10) =>
                {
                    continue
                }
                (ForwarderVariant::SendsTwice, Action::Send { .. }) => actions.push(action.clone()),
                _ => {}
            }
            actions.push(action);
        }
        if let (ForwarderVariant::SendsAfterEnd, Some((id, endpoint))) = (self.variant, delivered) {
            actions.push(Action::Send {
                id,
                endpoint,
                timeout: None,
                send_by: Micros::MAX,
            });
        }
    }
}
