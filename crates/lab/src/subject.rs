//! What a simulated forwarder is: the true core, or one that is broken on purpose so that the oracle has something to catch.

use opalpulley::{
    Action, Config, Effect, Event, Forwarder, ListNews, Listing, Micros, Outcome, PacketId,
    Standing, TargetId,
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
            Make::OneTry => config.max_trips = 1,
            Make::PushesOver => {
                (config.forwarders, config.may_probe) = (1, false);
                (
                    config.rules.fall_multiple,
                    config.rules.warm_after,
                    config.rules.cold_from,
                ) = (1e3, 1, 1.0);
            }
            _ => {}
        }
        let effects = config.profiles.iter().map(|p| p.effect).collect();
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
    effects: Vec<Effect>,
    binding: BTreeSet<PacketId>, // open binding packets; each leaves with its end
    targets: BTreeMap<TargetId, Listing>,
    ends: u64,
}

impl Broken {
    /// What the inner one is told instead.
    fn tamper(&mut self, event: Event) -> Event {
        match (self.make, event) {
            (Make::BreaksOrder, Event::Packet(mut arrival)) => {
                arrival.key = None;
                Event::Packet(arrival)
            }
            (Make::ResendsBinding, Event::Packet(arrival)) => {
                if self.effects.get(usize::from(arrival.profile.0)) == Some(&Effect::Binding) {
                    self.binding.insert(arrival.id);
                }
                Event::Packet(arrival)
            }
            (
                Make::ResendsBinding,
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                },
            ) => {
                let unclear = outcome != Outcome::Delivered && outcome.may_have_run();
                let outcome = if unclear && self.binding.contains(&id) {
                    Outcome::Full { wait: None }
                } else {
                    outcome
                };
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                }
            }
            (
                Make::IgnoresWaits,
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                },
            ) => {
                let outcome = if let Outcome::Full { .. } = outcome {
                    Outcome::Error
                } else {
                    outcome
                };
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                }
            }
            (
                Make::PushesOver,
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                },
            ) => {
                let bad = matches!(
                    outcome,
                    Outcome::NoConnection | Outcome::Full { wait: None }
                );
                let outcome = if bad {
                    Outcome::Moot { no_slot: false }
                } else {
                    outcome
                };
                Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    took,
                    closed,
                    report,
                }
            }
            (Make::SendsAfterDrain, Event::List(ListNews::Changes(mut entries))) => {
                entries.retain(|e| {
                    e.standing == Standing::Ready || !self.targets.contains_key(&e.target)
                });
                entries
                    .iter()
                    .for_each(|e| _ = self.targets.insert(e.target, e.clone()));
                Event::List(ListNews::Changes(entries))
            }
            (
                Make::SendsAfterDrain,
                Event::List(ListNews::Cached(entries) | ListNews::Whole(entries)),
            ) => {
                entries
                    .iter()
                    .for_each(|e| _ = self.targets.insert(e.target, e.clone()));
                Event::List(ListNews::Whole(self.targets.values().cloned().collect()))
            }
            (_, event) => event,
        }
    }
}

impl Subject for Broken {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let delivered = match &event {
            Event::TripEnded {
                id,
                target,
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
                Action::WriteOff { id } | Action::Defer { id, .. } => Some(*id),
                _ => None,
            };
            self.ends += u64::from(end.is_some());
            if let Some(id) = end {
                self.binding.remove(&id);
            }
            match (self.make, &action) {
                (Make::SecondAnswer, _) if end.is_some() => actions.push(action.clone()),
                (Make::TakesNothingBack, Action::TakeBack { .. }) => continue,
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
                target,
                limit: None,
                begin_by: Micros::MAX,
            });
        }
    }
}
