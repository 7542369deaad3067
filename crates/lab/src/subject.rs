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
pub enum Make {
    /// The one in service.
    True,
    /// One try each: never sends again. A baseline, not broken.
    OneTry,
    /// Gives each written-off or deferred packet a second final answer.
    SecondAnswer,
    /// Takes unclear trips of binding packets for ones that never ran.
    ResendsBinding,
    /// Passes over that a target drains.
    SendsAfterDrain,
    /// Passes over the wait that it is told.
    IgnoresWaits,
    /// Lets calls go that were chosen before a wait or a drain was told.
    TakesNothingBack,
    /// Forgets one packet in ten instead of giving it its end.
    LosesPackets,
    /// Takes a returning target for a warm one.
    PushesOver,
    /// Passes over the keys of order.
    BreaksOrder,
    /// Sends a packet again after it was delivered.
    SendsAfterEnd,
    /// Sends each call twice.
    SendsTwice,
}

impl std::fmt::Display for Make {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = clap::ValueEnum::to_possible_value(self);
        f.write_str(name.as_ref().map_or("true", |n| n.get_name()))
    }
}

impl Make {
    /// Those that the oracle must catch, each with the rule that it breaks.
    pub const BROKEN: [(Make, &'static str); 9] = [
        (Make::SecondAnswer, "second-final-answer"),
        (Make::ResendsBinding, "effect-twice"),
        (Make::SendsAfterDrain, "drain-not-kept"),
        (Make::IgnoresWaits, "wait-not-heeded"),
        (Make::LosesPackets, "lost"),
        (Make::PushesOver, "pushed-over"),
        (Make::BreaksOrder, "order-not-kept"),
        (Make::SendsAfterEnd, "sent-after-end"),
        (Make::SendsTwice, "two-trips-out"),
    ];

    pub fn build(self, mut config: Config, seed: u64) -> Box<dyn Subject> {
        match self {
            Make::True => return Box::new(Forwarder::new(config, seed)),
            Make::OneTry => config.max_attempts = 1,
            Make::PushesOver => {
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
        Box::new(Broken {
            make: self,
            inner,
            effects,
            binding: BTreeSet::new(),
            targets: BTreeMap::new(),
            ends: 0,
        })
    }
}

struct Broken {
    make: Make,
    inner: Forwarder,
    effects: Vec<DeliverySemantics>,
    binding: BTreeSet<MessageId>, // open binding packets; each leaves with its end
    targets: BTreeMap<EndpointId, EndpointEntry>,
    ends: u64,
}

impl Broken {
    /// What the inner one is told instead.
    fn tamper(&mut self, event: Event) -> Event {
        match (self.make, event) {
            (Make::BreaksOrder, Event::Submitted(mut arrival)) => {
                arrival.key = None;
                Event::Submitted(arrival)
            }
            (Make::ResendsBinding, Event::Submitted(arrival)) => {
                if self.effects.get(usize::from(arrival.class.0))
                    == Some(&DeliverySemantics::AtMostOnce)
                {
                    self.binding.insert(arrival.id);
                }
                Event::Submitted(arrival)
            }
            (
                Make::ResendsBinding,
                Event::AttemptEnded {
                    id,
                    attempt: trip,
                    endpoint: target,
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
                    attempt: trip,
                    endpoint: target,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                Make::IgnoresWaits,
                Event::AttemptEnded {
                    id,
                    attempt: trip,
                    endpoint: target,
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
                    attempt: trip,
                    endpoint: target,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                Make::PushesOver,
                Event::AttemptEnded {
                    id,
                    attempt: trip,
                    endpoint: target,
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
                    attempt: trip,
                    endpoint: target,
                    outcome,
                    took,
                    completed: closed,
                    report,
                }
            }
            (
                Make::SendsAfterDrain,
                Event::EndpointList(EndpointListUpdate::Changes(mut entries)),
            ) => {
                entries.retain(|e| {
                    e.status == EndpointStatus::Ready || !self.targets.contains_key(&e.endpoint)
                });
                entries
                    .iter()
                    .for_each(|e| _ = self.targets.insert(e.endpoint, e.clone()));
                Event::EndpointList(EndpointListUpdate::Changes(entries))
            }
            (
                Make::SendsAfterDrain,
                Event::EndpointList(
                    EndpointListUpdate::Cached(entries) | EndpointListUpdate::Complete(entries),
                ),
            ) => {
                entries
                    .iter()
                    .for_each(|e| _ = self.targets.insert(e.endpoint, e.clone()));
                Event::EndpointList(EndpointListUpdate::Complete(
                    self.targets.values().cloned().collect(),
                ))
            }
            (_, event) => event,
        }
    }
}

impl Subject for Broken {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let delivered = match &event {
            Event::AttemptEnded {
                id,
                endpoint: target,
                outcome: Outcome::Delivered,
                ..
            } => Some((*id, *target)),
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
            match (self.make, &action) {
                (Make::SecondAnswer, _) if end.is_some() => actions.push(action.clone()),
                (Make::TakesNothingBack, Action::WithdrawUnsent { .. }) => continue,
                (Make::LosesPackets, _) if end.is_some() && self.ends.is_multiple_of(10) => {
                    continue
                }
                (Make::SendsTwice, Action::Send { .. }) => actions.push(action.clone()),
                _ => {}
            }
            actions.push(action);
        }
        if let (Make::SendsAfterEnd, Some((id, target))) = (self.make, delivered) {
            actions.push(Action::Send {
                id,
                endpoint: target,
                timeout: None,
                send_by: Micros::MAX,
            });
        }
    }
}
