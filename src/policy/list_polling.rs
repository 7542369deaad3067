//! When a forwarder polls discovery for the endpoint list, if discovery does not push the list.
//!
//! The first poll is sent at a random time within a window that grows with the size of the fleet.
//! Each consecutive failed poll doubles the window. The window is bounded by the poll interval of
//! the service rules, and leaves time for an answer before the forwarder counts as notified of a
//! change.
//!
//! Discovery serves the whole fleet. It rejects polls, or answers them too late, when more polls
//! are in flight than it can process. Polls that fail together and are repeated together keep
//! discovery overloaded, so that no forwarder gets the list. The random delay spreads the polls.
//!
//! The service rules may treat a forwarder as notified a fixed time after a change, whether it
//! received the list or not. Discovery may have recovered right after the failed poll, so the time
//! elapsed since that poll is subtracted from the longest delay.
//!
//! All times are in µs. See `docs/design/fleet-growth.md` and
//! `docs/incidents/overbooked-discovery.md`.

use crate::model::{Action, Config, EndpointListUpdate, Event, Micros, TimerToken};
use rand::Rng;

/// Time without an answer after which the caller must report a poll as failed, in µs. It is counted
/// from the poll or from the last answer to it.
pub const MAX_POLL_SILENCE: Micros = 3_000_000;

/// Time reserved for the answer to the next poll, in µs. It is part of the time after which a
/// forwarder counts as notified.
const ANSWER_ALLOWANCE_US: Micros = 1_000_000;

/// Assumed time in which discovery processes one poll, in µs. The speed of discovery is not known;
/// this value assumes some tens of polls per second.
const POLL_COST_US: Micros = 50_000;

/// Time by which each other forwarder lengthens the window of the first poll while deliveries wait
/// for its answer, in µs. It is shorter than [`POLL_COST_US`]: a discovery that is overloaded
/// meanwhile still answers each poll that it has accepted, and late answers are used.
const AWAITED_POLL_SPREAD_US: Micros = 25_000;

/// The window of the first poll is at most the poll interval divided by this number.
const FIRST_WINDOW_DIVISOR: Micros = 2;

/// The shortest delay after a failure is at most the longest delay divided by this number.
const SHORTEST_DELAY_DIVISOR: Micros = 2;

/// Upper bound on the doublings of the window. This many exceed any poll interval that the service
/// rules may set.
const MAX_DOUBLINGS: u32 = 16;

/// Token of the timer for the next poll. The forwarder's own timers have the token 0.
const POLL_TIMER: TimerToken = TimerToken(1);

/// Schedules the polls of one forwarder, which owns it. It does not hold the endpoint list.
#[derive(Debug, Default)]
pub struct ListPoller {
    /// Whether the first poll has been scheduled.
    has_started: bool,
    /// `None` while no poll is scheduled.
    next_poll_at: Option<Micros>,
    /// 0 before the first poll.
    last_poll_at: Micros,
    /// Number of consecutive polls that failed without being answered for long.
    consecutive_failures: u32,
}

/// The range of the random delay before the next poll, in µs: from `shortest` up to and excluding
/// `end`. If the range is empty, the delay is `shortest`.
#[derive(Clone, Copy, Debug)]
struct DelayWindow {
    shortest: Micros,
    end: Micros,
}

impl DelayWindow {
    /// Draws a delay.
    fn draw(self, rng: &mut impl Rng) -> Micros {
        if self.end > self.shortest {
            rng.random_range(self.shortest..self.end)
        } else {
            self.shortest
        }
    }
}

impl ListPoller {
    /// Handles an event of the forwarder, of whatever kind. Adds the poll to `actions` if the poll
    /// is due, and a timer if a poll was scheduled. Does nothing if discovery pushes the list.
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
            let window = if poll_failed {
                self.next_window(now, poll_interval, config)
            } else {
                first_window(has_list(event), poll_interval, config)
            };
            let delay = self.schedule_poll(now, window, rng);
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

    /// Schedules a poll at a random time in the window. Returns its delay in µs.
    fn schedule_poll(&mut self, now: Micros, window: DelayWindow, rng: &mut impl Rng) -> Micros {
        self.has_started = true;
        let delay = window.draw(rng);
        self.next_poll_at = Some(now + delay);
        delay
    }

    /// Counts a failed poll, and returns the window of the next one.
    fn next_window(&mut self, now: Micros, poll_interval: Micros, config: &Config) -> DelayWindow {
        let elapsed_since_poll = now.saturating_sub(self.last_poll_at);
        self.count_failure(elapsed_since_poll, poll_interval, config);
        let max_delay = longest_delay(elapsed_since_poll, poll_interval, config);
        self.window_after_failure(max_delay, poll_interval, config)
    }

    /// Counts a failed poll. A poll that lasted long was answered before it failed, so the count
    /// restarts at 1.
    fn count_failure(
        &mut self,
        elapsed_since_poll: Micros,
        poll_interval: Micros,
        config: &Config,
    ) {
        // A silence may be reported late, so twice its limit must have passed.
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

    /// Returns the window of the poll that follows a failed one. `max_delay` bounds the delay.
    fn window_after_failure(
        &self,
        max_delay: Micros,
        poll_interval: Micros,
        config: &Config,
    ) -> DelayWindow {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let doubled_window = window(POLL_COST_US, poll_interval, config) << doublings;
        // The window of a forwarder without peers is empty. The shortest delay keeps such a
        // forwarder from polling in a tight loop.
        let shortest = (POLL_COST_US << doublings).min(max_delay / SHORTEST_DELAY_DIVISOR);
        DelayWindow {
            shortest,
            end: doubled_window.min(max_delay),
        }
    }
}

/// Returns whether the first event of a process brings a list that is in force. Otherwise
/// deliveries wait for the answer to the first poll.
fn has_list(first_event: &Event) -> bool {
    match first_event {
        Event::EndpointListUpdated(
            EndpointListUpdate::Cached(entries) | EndpointListUpdate::Complete(entries),
        ) => !entries.is_empty(),
        _ => false,
    }
}

/// Returns the window of the first poll after the start of the process.
fn first_window(has_list: bool, poll_interval: Micros, config: &Config) -> DelayWindow {
    let spread = if has_list {
        POLL_COST_US
    } else {
        AWAITED_POLL_SPREAD_US
    };
    let max_delay = longest_delay(0, poll_interval, config);
    DelayWindow {
        shortest: 0,
        end: window(spread, poll_interval, config).min(max_delay),
    }
}

/// Returns the time that holds `time_per_forwarder` µs for each other forwarder, in µs: at most half
/// the poll interval.
fn window(time_per_forwarder: Micros, poll_interval: Micros, config: &Config) -> Micros {
    let other_forwarders = Micros::from(config.fleet_size.saturating_sub(1));
    (time_per_forwarder * other_forwarders).min(poll_interval / FIRST_WINDOW_DIVISOR)
}

/// Returns the longest delay of the next poll, in µs, when `elapsed_since_poll` µs have passed
/// since the failed poll.
fn longest_delay(elapsed_since_poll: Micros, poll_interval: Micros, config: &Config) -> Micros {
    let Some(notification_delay) = config.list_notification_delay else {
        return poll_interval;
    };
    // Discovery may have been reachable ever since the failed poll, so the elapsed time counts
    // towards the notification delay.
    let time_spent = elapsed_since_poll.min(MAX_POLL_SILENCE) + ANSWER_ALLOWANCE_US;
    notification_delay
        .saturating_sub(time_spent)
        .min(poll_interval)
}

#[cfg(test)]
pub(crate) mod tests;
