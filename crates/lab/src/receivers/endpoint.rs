//! The model of one endpoint: its concurrency, its queue, its warm-up, and the effect of faults on its replies.

use super::faults::{is_outage, ActiveFault};
use super::{OverloadFailure, ReceiverReply};
use crate::random::{sample_service_time, seeded_rng};
use crate::scenario::{Destination, FaultKind, ResetMoment, RuleSettings, ServiceTime};
use crate::world::LayoutEndpoint;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

/// Calls that are allowed over the overload limit, in addition to twice its square root, because arrivals vary randomly.
const RANDOM_CALL_ALLOWANCE: f64 = 4.0;
/// Share of the counted calls from which on an overload is attributed to forwarders that had seen the endpoint fail.
const WITNESS_CALL_SHARE: f64 = 2.0 / 3.0;

/// Whether an endpoint is available, and with how much of its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum EndpointState {
    /// Full capacity.
    Warm,
    /// An outage is active.
    Down,
    /// The last outage ended at `since`, in µs.
    WarmingUp { since: Micros },
    /// The endpoint received too many calls while it warmed up. It stays down until it is replaced.
    Failed,
}

/// The state of one endpoint.
pub(super) struct Endpoint {
    /// Index of the rate limiter that the endpoint's calls pass.
    pub limiter_index: usize,
    /// Index of the endpoint's group of destinations in the scenario.
    pub group_index: usize,
    /// Calls per second: the endpoint's share of the limiter's rate.
    capacity: f64,
    /// When each concurrency slot becomes free, in µs. The number of slots is constant.
    pub slots_free_at: BinaryHeap<Reverse<Micros>>,
    /// When each queued call will start, in µs, in ascending order.
    queued_starts: VecDeque<Micros>,
    pub state: EndpointState,
    /// Indices in the scenario of the active faults that affect the endpoint, in the order in which they began.
    pub faults: Vec<usize>,
    /// Factor on the service time during a congestion fault (`Jam`), and after it until the queue has been empty; 1
    /// otherwise.
    congestion_slowdown: f64,
    /// Calls and health checks within the overload window during warm-up, each with its time and its forwarder.
    recent_arrivals: VecDeque<(Micros, u32)>,
    /// Forwarders that have seen a call or health check fail since the last outage began.
    failure_witnesses: BTreeSet<u32>,
    rng: Pcg64Mcg,
}

impl Endpoint {
    /// Creates an endpoint without calls or faults. `endpoint_index` is its index in the layout.
    pub fn new(
        group: &Destination,
        layout_endpoint: &LayoutEndpoint,
        seed: u64,
        endpoint_index: usize,
    ) -> Endpoint {
        let endpoints_per_limiter = match group.independent_limits {
            true => 1.0,
            false => f64::from(group.endpoints),
        };
        Endpoint {
            limiter_index: layout_endpoint.limiter_index,
            group_index: layout_endpoint.group_index,
            capacity: group.rate / endpoints_per_limiter,
            slots_free_at: (0..group.concurrency).map(|_| Reverse(0)).collect(),
            queued_starts: VecDeque::new(),
            state: EndpointState::Warm,
            faults: Vec::new(),
            congestion_slowdown: 1.0,
            recent_arrivals: VecDeque::new(),
            failure_witnesses: BTreeSet::new(),
            rng: seeded_rng(seed, "receiver", endpoint_index as u64),
        }
    }

    /// Resets the endpoint to a new incarnation at the same address. Only the active faults remain.
    pub fn replace(&mut self, now: Micros, concurrency: u32) {
        self.slots_free_at = (0..concurrency).map(|_| Reverse(now)).collect();
        self.queued_starts.clear();
        self.state = EndpointState::Warm;
        self.congestion_slowdown = 1.0;
        self.recent_arrivals.clear();
        self.failure_witnesses.clear();
    }

    /// Applies the start of a fault.
    pub fn begin_fault(&mut self, kind: &FaultKind) {
        if let FaultKind::Jam { times } = kind {
            self.congestion_slowdown = *times;
        } else if is_outage(kind) && self.state != EndpointState::Failed {
            self.state = EndpointState::Down;
            self.failure_witnesses.clear();
        }
    }

    /// Starts the warm-up. The caller must check that no outage of the endpoint is active any more.
    pub fn end_outage(&mut self, now: Micros) {
        if self.state == EndpointState::Down {
            self.state = EndpointState::WarmingUp { since: now };
            self.recent_arrivals.clear();
        }
    }

    /// Returns the share of its capacity that the endpoint has: it grows linearly during warm-up, and is 1 otherwise.
    pub fn warm_capacity_share(&self, now: Micros, rules: &RuleSettings) -> f64 {
        let EndpointState::WarmingUp { since } = self.state else {
            return 1.0;
        };
        let progress = (now - since) as f64 / rules.warm_up_time.0.max(1) as f64;
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * progress.min(1.0)
    }

    /// Counts a call or a health check during warm-up. Returns false if the endpoint isn't warming up.
    pub fn count_arrival(&mut self, now: Micros, forwarder: u32, rules: &RuleSettings) -> bool {
        let EndpointState::WarmingUp { since } = self.state else {
            return false;
        };
        if now >= since + rules.warm_up_time.0 {
            self.state = EndpointState::Warm;
            self.recent_arrivals.clear();
            return false;
        }
        self.recent_arrivals.push_back((now, forwarder));
        while let Some((at, _)) = self.recent_arrivals.front() {
            if at + rules.overload_window.0 >= now {
                break;
            }
            self.recent_arrivals.pop_front();
        }
        true
    }

    /// Returns the number of calls and health checks within the overload window during warm-up.
    pub fn recent_arrival_count(&self) -> usize {
        self.recent_arrivals.len()
    }

    /// Returns the number of calls and health checks within the overload window that the endpoint tolerates with this share
    /// of its capacity.
    pub fn overload_limit(&self, capacity_share: f64, rules: &RuleSettings) -> f64 {
        let window = rules.overload_window.seconds();
        let limit = rules.overload_multiple * capacity_share * self.capacity * window;
        limit + 2.0 * limit.sqrt() + RANDOM_CALL_ALLOWANCE
    }

    /// Marks the endpoint as failed from overload and returns the record of the failure. `limit` is the overload limit that
    /// was exceeded.
    pub fn fail_from_overload(
        &mut self,
        now: Micros,
        endpoint_index: usize,
        limit: f64,
    ) -> OverloadFailure {
        let arrival_count = self.recent_arrivals.len();
        let mut calls_from_witnesses = 0;
        for (_, forwarder) in &self.recent_arrivals {
            if self.failure_witnesses.contains(forwarder) {
                calls_from_witnesses += 1;
            }
        }
        self.state = EndpointState::Failed;
        OverloadFailure {
            at: now,
            endpoint: endpoint_index,
            calls: arrival_count,
            overload_limit: limit,
            caused_by_witnesses: f64::from(calls_from_witnesses)
                >= WITNESS_CALL_SHARE * arrival_count as f64,
        }
    }

    /// Records that a forwarder saw a call or a health check fail, if an outage is active.
    pub fn add_failure_witness(&mut self, forwarder: u32) {
        if self.state == EndpointState::Down {
            self.failure_witnesses.insert(forwarder);
        }
    }

    /// Draws whether an event of this probability happens.
    pub fn draw(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns the reply of a fault that takes effect before service; none if the call may be served.
    pub fn reply_before_service(
        &mut self,
        now: Micros,
        faults: &[&ActiveFault],
    ) -> Option<ReceiverReply> {
        let mut all_faults = faults.iter();
        if let Some(shut) = all_faults.find(|fault| fault.kind == FaultKind::Shut) {
            let retry_after = Some(shut.ends_at.saturating_sub(now));
            return Some(ReceiverReply::TooManyRequests { retry_after });
        }
        let mut all_faults = faults.iter();
        if all_faults.any(|fault| fault.kind == FaultKind::Silent) {
            return Some(ReceiverReply::Silent);
        }
        let rate = faults.iter().find_map(|fault| match fault.kind {
            FaultKind::Reset {
                rate,
                moment: ResetMoment::Before,
            } => Some(rate),
            _ => None,
        })?;
        self.draw(rate).then_some(ReceiverReply::ClosedEarly)
    }

    /// Removes the calls that have started by `now` from the queue.
    pub fn dequeue_started_calls(&mut self, now: Micros) {
        while self
            .queued_starts
            .front()
            .is_some_and(|start| *start <= now)
        {
            self.queued_starts.pop_front();
        }
    }

    /// Returns the factor on the service time of a call that arrives now. Ends the congestion once its fault
    /// is over and the queue is empty; the caller must have removed the started calls from the queue.
    pub fn slowdown(&mut self, capacity_share: f64, faults: &[&ActiveFault]) -> f64 {
        let mut slowdown = 1.0 / capacity_share;
        for fault in faults {
            if let FaultKind::Slow { times } = fault.kind {
                slowdown *= times;
            }
        }
        if self.congestion_slowdown > 1.0 {
            let mut all_faults = faults.iter();
            let has_congestion_fault =
                all_faults.any(|fault| matches!(fault.kind, FaultKind::Jam { .. }));
            if !has_congestion_fault && self.queued_starts.is_empty() {
                self.congestion_slowdown = 1.0;
            }
            slowdown *= self.congestion_slowdown;
        }
        slowdown
    }

    /// Whether a call can be served at once or queued.
    pub fn has_capacity(&self, now: Micros, queue_limit: u32) -> bool {
        let is_busy = self
            .slots_free_at
            .peek()
            .is_some_and(|free_at| free_at.0 > now);
        !is_busy || self.queued_starts.len() < queue_limit as usize
    }

    /// Serves a call, at once or after the queued ones, and returns the time when it ends, in µs.
    pub fn serve(&mut self, now: Micros, service_time: &ServiceTime, slowdown: f64) -> Micros {
        let slot_free_at = self.slots_free_at.pop().map_or(now, |free_at| free_at.0);
        let starts_at = slot_free_at.max(now);
        let micros = sample_service_time(service_time, &mut self.rng) as f64 * slowdown;
        let ends_at = starts_at + micros.round().max(1.0) as Micros;
        self.slots_free_at.push(Reverse(ends_at));
        if starts_at > now {
            self.queued_starts.push_back(starts_at);
        }
        ends_at
    }

    /// Returns the reply for a call that was served. Each fault draws, even if an earlier one has already determined the
    /// reply.
    pub fn reply_after_service(
        &mut self,
        error_rate: f64,
        faults: &[&ActiveFault],
    ) -> ReceiverReply {
        let mut reply = ReceiverReply::Served;
        if error_rate > 0.0 && self.draw(error_rate) {
            reply = ReceiverReply::InternalError;
        }
        for fault in faults {
            let Some((rate, failure_reply)) = failure_reply(&fault.kind) else {
                continue;
            };
            if self.draw(rate) && reply == ReceiverReply::Served {
                reply = failure_reply;
            }
        }
        reply
    }

    /// Returns the number of calls in the queue at `now`.
    pub fn queue_length(&self, now: Micros) -> usize {
        self.queued_starts
            .iter()
            .filter(|start| **start > now)
            .count()
    }
}

/// Returns the probability with which a fault replaces the reply of a served call, and the reply that replaces it.
fn failure_reply(kind: &FaultKind) -> Option<(f64, ReceiverReply)> {
    match kind {
        FaultKind::Erring { rate } => Some((*rate, ReceiverReply::InternalError)),
        FaultKind::Reset {
            rate,
            moment: ResetMoment::Within,
        } => Some((*rate, ReceiverReply::Reset)),
        FaultKind::Reset {
            rate,
            moment: ResetMoment::After,
        } => Some((*rate, ReceiverReply::ServedThenReset)),
        FaultKind::AnswerLost { rate } => Some((*rate, ReceiverReply::Silent)),
        FaultKind::Garbled { rate } => Some((*rate, ReceiverReply::Garbled)),
        FaultKind::Endless { rate } => Some((*rate, ReceiverReply::Endless)),
        FaultKind::EndlessErrors { rate } => Some((*rate, ReceiverReply::EndlessError)),
        _ => None,
    }
}
