//! Random histories: a random configuration, followed by events in orders that are legal but
//! unfavourable.
//!
//! A seed identifies one history. The order of the random draws must not change, because a change
//! gives every seed another history.

use super::fixtures::{config, endpoint, listed_endpoint, with_status, MS, TIME_TO_LIVE};
use super::world::World;
use super::CheckResult;
use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENDPOINT_COUNT: u8 = 6;

/// Time after the last step in which every message must get its final answer, in µs.
const FINAL_PAUSE: Micros = 30_000 * MS;

/// Options of a random history.
#[derive(Clone, Copy, Debug)]
pub struct HistoryOptions {
    pub step_count: usize,
    /// Upper bound, exclusive, on the time between two steps, in µs.
    pub max_pause: Micros,
    pub endpoints_per_destination: u8,
    /// Value of `Config::full_destinations`.
    pub full_destinations: Option<u32>,
}

/// Runs a history with less than 200 ms between steps and two endpoints per destination. Fails with
/// the rule that the history breaks.
pub fn check_history(seed: u64, step_count: usize) -> CheckResult {
    let options = HistoryOptions {
        step_count,
        max_pause: 200 * MS,
        endpoints_per_destination: 2,
        full_destinations: None,
    };
    run_history(seed, &options)?;
    Ok(())
}

/// Runs a history and returns the world in its final state. Fails with the rule that the history
/// breaks.
pub fn run_history(seed: u64, options: &HistoryOptions) -> CheckResult<World> {
    let mut history = RandomHistory::new(seed, options);
    for _ in 0..options.step_count {
        history.step()?;
    }
    history.world.advance(FINAL_PAUSE)?;
    Ok(history.world)
}

fn random_config(rng: &mut Pcg64Mcg, options: &HistoryOptions) -> Config {
    let mut config = Config {
        full_destinations: options.full_destinations,
        ..config()
    };
    config.concurrency_limit = rng.random_range(1..12);
    config.max_messages = rng.random_range(3..60);
    config.max_attempts = rng.random_range(1..7);
    config.order_release = if rng.random() {
        OrderRelease::OnAcknowledgement
    } else {
        OrderRelease::OnFinalAnswer
    };
    config.may_health_check = rng.random();
    config.may_cancel = rng.random();
    config.priority_decay = if rng.random() {
        PriorityDecay::Linear
    } else {
        PriorityDecay::Exponential
    };
    config.endpoint_kinds[0] = EndpointKindConfig {
        has_independent_limits: rng.random(),
        max_batch_size: if rng.random_bool(0.3) { 4 } else { 1 },
    };
    let scope = if rng.random() {
        DeduplicationScope::Zone
    } else {
        DeduplicationScope::AllEndpoints
    };
    config.classes[1].semantics = DeliverySemantics::IdempotencyKeyed {
        scope,
        window: rng.random_range(100..4_000) * MS,
    };
    for class in &mut config.classes {
        class.ordered = rng.random();
    }
    config
}

struct RandomHistory {
    rng: Pcg64Mcg,
    world: World,
    max_pause: Micros,
    /// The endpoint list with every endpoint ready.
    list: Vec<EndpointEntry>,
    /// Probability that an attempt fails, by endpoint number.
    failure_rates: [f64; ENDPOINT_COUNT as usize],
}

impl RandomHistory {
    fn new(seed: u64, options: &HistoryOptions) -> RandomHistory {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = random_config(&mut rng, options);
        let entry = |number: u8| {
            let destination = u32::from(number / options.endpoints_per_destination);
            listed_endpoint(number, destination, 4.0 + f32::from(number))
        };
        let list: Vec<EndpointEntry> = (0..ENDPOINT_COUNT).map(entry).collect();
        RandomHistory {
            rng,
            world: World::new(config, list.clone()),
            max_pause: options.max_pause,
            list,
            failure_rates: [0.1; ENDPOINT_COUNT as usize],
        }
    }

    fn step(&mut self) -> CheckResult {
        self.world.connect_delay = if self.rng.random_bool(0.3) {
            self.rng.random_range(0..1_000) * MS
        } else {
            0
        };
        match self.rng.random_range(0..100) {
            0..30 => self.submit(),
            30..60 => self.end_random_attempt(),
            60..90 => self.advance(),
            90..92 => self.change_random_endpoint(),
            92 => self.report_partial_list(),
            93 => {
                self.change_random_failure_rate();
                Ok(())
            }
            94..97 => self.end_last_health_check(),
            97 => self.withdraw_and_acknowledge(),
            98 if self.rng.random_bool(0.5) => self.receive_gossip(),
            98 if self.rng.random_bool(0.1) => self.world.restart_without_journal(),
            98 if self.rng.random_bool(0.1) => self.world.restart_with_journal(),
            _ => self.end_unknown_attempt(),
        }
    }

    /// Submits a message. One in ten has less than 50 ms left.
    fn submit(&mut self) -> CheckResult {
        let rng = &mut self.rng;
        let time_left = if rng.random_bool(0.1) {
            rng.random_range(0..50) * MS
        } else {
            TIME_TO_LIVE
        };
        let key = if rng.random_bool(0.5) {
            Some(OrderKey(rng.random_range(1..4)))
        } else {
            None
        };
        let class = rng.random_range(0..3);
        let destination = rng.random_range(0..4);
        self.world
            .submit_with_key(class, destination, key, time_left)?;
        Ok(())
    }

    fn end_random_attempt(&mut self) -> CheckResult {
        let in_flight = self.world.messages.ids_in_flight();
        let index = self.rng.random_range(0..in_flight.len().max(1));
        let Some(id) = in_flight.get(index).copied() else {
            return Ok(());
        };
        if self.rng.random_bool(0.05) {
            let retry_after = self.random_retry_after();
            self.world.receive_retry_after(id, retry_after)?;
        }
        let [.., number] = self.world.messages.last_attempt(id)?.endpoint.address;
        let fails = self
            .rng
            .random_bool(self.failure_rates[usize::from(number)]);
        let outcome = if fails {
            self.random_failure()
        } else {
            Outcome::Delivered
        };
        self.world.end_attempt(id, outcome)
    }

    fn random_failure(&mut self) -> Outcome {
        match self.rng.random_range(0..6) {
            0 => Outcome::Rejected {
                retry_after: Some(self.random_retry_after()),
            },
            1 => Outcome::Rejected { retry_after: None },
            2 => Outcome::NoConnection,
            3 => Outcome::ConnectionReset,
            4 => Outcome::NotAttempted { no_permit: true },
            _ => Outcome::Error,
        }
    }

    fn random_retry_after(&mut self) -> Micros {
        self.rng.random_range(1..3_000) * MS
    }

    fn advance(&mut self) -> CheckResult {
        let pause = self.rng.random_range(1..self.max_pause / MS) * MS;
        self.world.advance(pause)
    }

    fn change_random_endpoint(&mut self) -> CheckResult {
        let entry = self.list[self.rng.random_range(0..6)].clone();
        let statuses = [
            EndpointStatus::Ready,
            EndpointStatus::Ready,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ];
        let status = statuses[self.rng.random_range(0..4)];
        self.world.report_entry_change(with_status(entry, status))
    }

    fn report_partial_list(&mut self) -> CheckResult {
        let first = self.rng.random_range(0..5);
        let partial_list = self.list[first..].to_vec();
        self.world
            .report_list(EndpointListUpdate::Complete(partial_list))
    }

    fn change_random_failure_rate(&mut self) {
        let rate = [0.0, 0.1, 0.9, 1.0][self.rng.random_range(0..4)];
        self.failure_rates[self.rng.random_range(0..6)] = rate;
    }

    fn end_last_health_check(&mut self) -> CheckResult {
        let outcome = if self.rng.random() {
            Outcome::Delivered
        } else {
            Outcome::Timeout
        };
        self.world.end_health_check(outcome)
    }

    fn withdraw_and_acknowledge(&mut self) -> CheckResult {
        if let Some(id) = self.world.messages.first_pending_id() {
            self.world.withdraw(id)?;
        }
        if let Some(id) = self.world.messages.unacknowledged.first().copied() {
            self.world.acknowledge(id)?;
        }
        Ok(())
    }

    /// Delivers gossip from an arbitrary forwarder, which may be outside the fleet, about a known
    /// or unknown destination, complete or truncated.
    fn receive_gossip(&mut self) -> CheckResult {
        let mut payload = vec![1, 1, self.rng.random_range(0..4), 0];
        let length = if self.rng.random_bool(0.8) {
            4
        } else {
            self.rng.random_range(0..4)
        };
        payload.truncate(length);
        let peer = self.rng.random();
        self.world.receive_gossip(peer, payload)
    }

    /// Reports the end of an attempt that the forwarder does not know.
    fn end_unknown_attempt(&mut self) -> CheckResult {
        let id = MessageId(self.rng.random_range(0..1_000_000));
        let endpoint = endpoint(self.rng.random_range(0..9));
        self.world.handle(Event::AttemptEnded {
            id,
            attempt_index: 0,
            endpoint,
            outcome: Outcome::Delivered,
            elapsed: 0,
            message_completed: true,
            load_metrics: vec![],
        })
    }
}
