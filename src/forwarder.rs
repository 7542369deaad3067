//! The forwarder: it receives events, owns the state of all parts and returns actions.
//!
//! [`Forwarder::handle`] is the only entry point for events. It applies one event (`events`), lets
//! the parts exchange events until all mailboxes are empty (`mailbox`), grants permits
//! (`scheduler`), and summarises idle destinations (`idle_destinations`). The same configuration,
//! seed and sequence of events always produce the same actions.

pub(crate) mod context;
mod endpoint_list;
mod events;
mod idle_destinations;
pub(crate) mod mailbox;
mod scheduler;
mod submissions;

use crate::destination::Destination;
use crate::endpoint::Endpoint;
use crate::idle::{IdleTable, StateCounts};
use crate::latency::LatencyEstimator;
use crate::model::{
    Action, Config, DeliveryClassConfig, DestinationId, EndpointId, Event, MessageId, Micros,
    OrderKey, TimerToken,
};
use crate::policy::admission::TenantQuotas;
use crate::policy::connection_reuse::ConnectionScarcity;
use crate::policy::gossip::Gossip;
use crate::policy::list_polling::ListPoller;
use crate::policy::ordering::OrderedQueues;
use crate::policy::TIMER_INTERVAL;
use context::DecisionContext;
use mailbox::{Activity, Candidate, Mailboxes};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The timer of the periodic tick, at which the timers of all parts are checked.
const TICK_TIMER: TimerToken = TimerToken(0);

/// The destination and the order key of a message.
struct MessageLocation {
    destination: DestinationId,
    /// The order key, if the delivery class is ordered.
    order_key: Option<OrderKey>,
}

/// The destinations and endpoints, borrowed apart from the rest of the forwarder.
struct PartTables<'a> {
    destinations: &'a mut BTreeMap<DestinationId, Destination>,
    endpoints: &'a mut BTreeMap<EndpointId, Endpoint>,
}

/// The decision core of one forwarder. It owns the state of all messages, destinations and
/// endpoints.
pub struct Forwarder {
    config: Config,
    rng: Pcg64Mcg,
    mailboxes: Mailboxes,
    /// Messages that await their final answer or have an attempt in flight.
    messages: BTreeMap<MessageId, MessageLocation>,
    /// Destinations that are held in full. A destination is removed once it has no endpoints,
    /// messages and pauses.
    destinations: BTreeMap<DestinationId, Destination>,
    /// Endpoints that are held in full. An endpoint is removed once it has been off the list for
    /// the warm-up time and has no calls in flight.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    ordered_queues: OrderedQueues,
    tenant_quotas: TenantQuotas,
    /// Destinations with messages, calls or timers. Ticks and scheduling rounds visit only these.
    activities: BTreeMap<DestinationId, Activity>,
    /// The candidates of the current scheduling round.
    candidates: Vec<Candidate>,
    /// The instant of the next tick, in µs. `None` while no tick is scheduled.
    next_tick_at: Option<Micros>,
    /// The instant in µs before which no call starts, after a stall of the process.
    sends_paused_until: Micros,
    list_poller: ListPoller,
    gossip: Gossip,
    connection_scarcity: ConnectionScarcity,
    /// Latency of the calls to all endpoints.
    overall_latency: LatencyEstimator,
    idle: IdleTable,
}

impl Forwarder {
    /// Creates a forwarder without messages, destinations and endpoints. `seed` seeds all random
    /// decisions.
    pub fn new(mut config: Config, seed: u64) -> Forwarder {
        let classes = config.classes.len().max(1);
        config
            .classes
            .resize_with(classes, DeliveryClassConfig::default);
        Forwarder {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mailboxes: Mailboxes::default(),
            messages: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            ordered_queues: OrderedQueues::default(),
            tenant_quotas: TenantQuotas::new(config.tenants.len()),
            activities: BTreeMap::new(),
            candidates: Vec::new(),
            next_tick_at: None,
            sends_paused_until: 0,
            list_poller: ListPoller::default(),
            gossip: Gossip::default(),
            connection_scarcity: ConnectionScarcity::default(),
            overall_latency: LatencyEstimator::default(),
            idle: IdleTable::default(),
            config,
        }
    }

    /// Handles one event and appends the actions to carry out, in order, to `actions`.
    ///
    /// `now` is in µs and must not be less than in the previous call.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        self.list_poller
            .handle_event(now, &event, &self.config, &mut self.rng, actions);
        self.restore_destination_of_event(now, &event);
        let max_summaries = crate::idle::max_summaries_after(&event);
        self.apply_event(now, event, actions);
        self.drain_mailboxes(now, actions);
        self.run_scheduling_rounds(now, actions);
        self.summarise_idle_destinations(now, max_summaries);
        self.schedule_tick(now, actions);
    }

    /// Pauses sending after a stall of the process. The events that arrived during the stall are
    /// read first, because an endpoint may have started to drain.
    fn detect_stall(&mut self, now: Micros) {
        let tolerance = self.config.rules.drain_grace / 2;
        if self.next_tick_at.is_some_and(|due| now > due + tolerance) {
            self.next_tick_at = Some(now);
            self.sends_paused_until = now + TIMER_INTERVAL;
        }
    }

    /// Sets the timer for the next tick if any part needs one.
    fn schedule_tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let needs_no_tick = self.activities.is_empty() && self.ordered_queues.is_empty();
        if self.next_tick_at.is_some() || needs_no_tick {
            return;
        }
        let delay = TIMER_INTERVAL.max(self.config.min_tick_interval);
        self.next_tick_at = Some(now + delay);
        actions.push(Action::SetTimer {
            delay,
            token: TICK_TIMER,
        });
    }

    /// Lets the parts handle their events until all mailboxes are empty. The events of endpoints
    /// are handled first, then those of destinations, then those of the forwarder.
    fn drain_mailboxes(&mut self, now: Micros, actions: &mut Vec<Action>) {
        loop {
            if let Some((id, event)) = self.mailboxes.endpoints.pop_front() {
                let (tables, mut context) = self.split_state(now);
                if let Some(endpoint) = tables.endpoints.get_mut(&id) {
                    endpoint.handle(event, &mut context);
                }
            } else if let Some((id, event)) = self.mailboxes.destinations.pop_front() {
                let (tables, mut context) = self.split_state(now);
                if let Some(destination) = tables.destinations.get_mut(&id) {
                    destination.handle(event, &mut context);
                }
            } else if let Some(event) = self.mailboxes.forwarder.pop_front() {
                self.handle_forwarder_event(now, event, actions);
            } else {
                return;
            }
        }
    }

    /// Borrows the destinations and endpoints, together with a context of the rest of the state.
    fn split_state(&mut self, now: Micros) -> (PartTables<'_>, DecisionContext<'_>) {
        let tables = PartTables {
            destinations: &mut self.destinations,
            endpoints: &mut self.endpoints,
        };
        let context = DecisionContext {
            now,
            config: &self.config,
            rng: &mut self.rng,
            mailboxes: &mut self.mailboxes,
            are_connections_scarce: self.connection_scarcity.is_scarce(),
            overall_latency: &self.overall_latency,
        };
        (tables, context)
    }

    /// Returns the number of destinations and endpoints that are held in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.idle.counts(self.destinations.len())
    }
}
