//! When a forwarder polls discovery for the endpoint list, where the list is not pushed.
//!
//! Rule: the first poll comes at a random moment within a window that grows with the fleet. Each
//! failed poll in a row doubles the window. The window stays within the poll interval of the
//! service rules and leaves room for an answer before the forwarder counts as notified of a change.
//!
//! Discovery serves the whole fleet. It rejects polls, or answers them too late, once more are in
//! flight than it can work off. Polls that fail together and are repeated together keep it
//! overloaded, so that no forwarder gets a list. The random delay spreads them.
//!
//! A forwarder may count as notified a fixed time after a change, whether it received the list or
//! not. Discovery may have recovered right after the failed poll, so the time since that poll is
//! taken off the longest delay.
//!
//! All times are in µs. Source: our own rule, see `docs/design/fleet-growth.md` and
//! `docs/incidents/overbooked-discovery.md`.

use crate::model::{Action, Config, EndpointListUpdate, Event, Micros, TimerToken};
use rand::Rng;

/// µs within which the caller has to report a poll as failed, counted from the poll or from its
/// last answer.
pub const MAX_POLL_SILENCE: Micros = 3_000_000;

/// µs left for the answer to the next poll, out of the time after which a forwarder counts as
/// notified.
const ANSWER_ALLOWANCE_US: Micros = 1_000_000;

/// µs of discovery's time that one poll may take. Some tens a second can be served until more is
/// known of discovery.
const POLL_COST_US: Micros = 50_000;

/// The window of a first poll is at most the poll interval divided by this.
const FIRST_WINDOW_DIVISOR: Micros = 2;

/// The shortest delay after a failure is at most the longest delay divided by this.
const SHORTEST_DELAY_DIVISOR: Micros = 2;

/// Doublings of the window at most. They take it past any poll interval that the service rules may
/// name.
const MAX_DOUBLINGS: u32 = 16;

/// The name of the timer for the next poll. The forwarder's own timers have the name 0.
const POLL_TIMER: TimerToken = TimerToken(1);

/// Decides when to poll. It holds no endpoint list.
#[derive(Debug, Default)]
pub struct ListPoller {
    has_started: bool,
    next_poll_at: Option<Micros>,
    last_poll_at: Micros,
    /// Failed polls in a row, none of which was answered for long.
    consecutive_failures: u32,
}

/// The next poll is sent after a random delay, in µs, from `shortest` up to but without `end`. If
/// the range is empty it is sent after `shortest`.
#[derive(Clone, Copy, Debug)]
struct DelayWindow {
    shortest: Micros,
    end: Micros,
}

impl DelayWindow {
    fn draw(self, rng: &mut impl Rng) -> Micros {
        if self.end > self.shortest {
            rng.random_range(self.shortest..self.end)
        } else {
            self.shortest
        }
    }
}

impl ListPoller {
    /// Reacts to any event of the forwarder: adds the poll to `actions` when it is due, and sets
    /// its timer when it is scheduled.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: &Event,
        config: &Config,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(poll_interval) = config.list_poll_interval else {
            return;
        };
        let poll_failed = matches!(
            event,
            Event::EndpointListUpdated(EndpointListUpdate::Failed)
        );
        if poll_failed || !self.has_started {
            let delay = self.schedule_poll(now, poll_failed, poll_interval, config, rng);
            actions.push(Action::SetTimer {
                delay,
                token: POLL_TIMER,
            });
        }
        if self.next_poll_at.take_if(|at| now >= *at).is_some() {
            self.last_poll_at = now;
            actions.push(Action::WatchEndpointList { enabled: true });
        }
    }

    /// Schedules the next poll, after a failed one if `poll_failed`. Returns the delay until then.
    fn schedule_poll(
        &mut self,
        now: Micros,
        poll_failed: bool,
        poll_interval: Micros,
        config: &Config,
        rng: &mut impl Rng,
    ) -> Micros {
        self.has_started = true;
        let elapsed_since_poll = now.saturating_sub(self.last_poll_at);
        let window = if poll_failed {
            self.count_failure(elapsed_since_poll, poll_interval, config);
            let max_delay = longest_delay(elapsed_since_poll, poll_interval, config);
            self.window_after_failure(max_delay, poll_interval, config)
        } else {
            first_window(poll_interval, config)
        };
        let delay = window.draw(rng);
        self.next_poll_at = Some(now + delay);
        delay
    }

    /// Counts a failed poll. A poll that lasted long was answered before it failed and starts a new
    /// row of failures.
    fn count_failure(
        &mut self,
        elapsed_since_poll: Micros,
        poll_interval: Micros,
        config: &Config,
    ) {
        // Twice the longest silence, because a silence may be reported late.
        let answered_threshold = match config.list_notification_delay {
            Some(_) => 2 * MAX_POLL_SILENCE,
            None => poll_interval,
        };
        let was_answered = elapsed_since_poll > answered_threshold;
        self.consecutive_failures = if was_answered {
            1
        } else {
            self.consecutive_failures + 1
        };
    }

    fn window_after_failure(
        &self,
        max_delay: Micros,
        poll_interval: Micros,
        config: &Config,
    ) -> DelayWindow {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let doubled_window = base_window(poll_interval, config) << doublings;
        // A lone forwarder has an empty window. The shortest delay keeps it from polling without a
        // pause.
        let shortest = (POLL_COST_US << doublings).min(max_delay / SHORTEST_DELAY_DIVISOR);
        DelayWindow {
            shortest,
            end: doubled_window.min(max_delay),
        }
    }
}

/// The window of the first poll of a process.
fn first_window(poll_interval: Micros, config: &Config) -> DelayWindow {
    let max_delay = longest_delay(0, poll_interval, config);
    DelayWindow {
        shortest: 0,
        end: base_window(poll_interval, config).min(max_delay),
    }
}

/// µs in which discovery works off one poll of each other forwarder, as far as the poll interval
/// has room for it.
fn base_window(poll_interval: Micros, config: &Config) -> Micros {
    let other_forwarders = Micros::from(config.fleet_size.saturating_sub(1));
    (POLL_COST_US * other_forwarders).min(poll_interval / FIRST_WINDOW_DIVISOR)
}

/// The longest delay of the next poll, `elapsed_since_poll` after the failed one.
fn longest_delay(elapsed_since_poll: Micros, poll_interval: Micros, config: &Config) -> Micros {
    let Some(notification_delay) = config.list_notification_delay else {
        return poll_interval;
    };
    // Discovery may have been in reach ever since the failed poll, so that time is spent.
    let time_spent = elapsed_since_poll.min(MAX_POLL_SILENCE) + ANSWER_ALLOWANCE_US;
    notification_delay
        .saturating_sub(time_spent)
        .min(poll_interval)
}

#[cfg(test)]
pub(crate) mod tests;
