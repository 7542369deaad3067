//! When a forwarder asks discovery for the list, where the list must be asked for: decided without I/O or clock. The
//! `Forwarder` owns one [`ListPoller`] and passes it every event; it holds no table.
//!
//! Discovery is shared by the whole fleet and turns calls away, or answers too late, once more are out than it can work
//! off. Calls that fail together and are made again together keep it there for good: nobody hears anything. So the first
//! call of each forwarder comes by chance within a window that grows with the fleet, and each failed call doubles it.
//!
//! Where news count as told a fixed time after discovery had them and could be reached, heard or not, no window goes beyond
//! what leaves room for the next answer by then: discovery may have come back right behind the failed call.

use crate::model::{Action, Config, EndpointListUpdate, Event, Micros, TimerToken};
use rand::Rng;

/// µs within which whoever carries out a call has to say that it has failed, counted from the call or from its last answer.
pub const LONGEST_SILENCE: Micros = 3_000_000;

const ANSWER_TIME: Micros = 1_000_000; // µs left for the answer to the next call, of the time after which news count as told
const CALL_TIME: Micros = 50_000; // µs of discovery's time that a call may take: some tens a second, until it is known
const FIRST_PART: Micros = 2; // one in so many of the interval within which the rules want a call, the first window at most
const MOST_DOUBLINGS: u32 = 16; // of a window: past any interval that the rules may want
const DUE: TimerToken = TimerToken(1); // of the alarm for a call; the core's own have 0

#[derive(Debug, Default)]
pub struct ListPoller {
    begun: bool,
    at: Option<Micros>,
    asked: Micros,
    failures: u32, // calls in a row, none of which held for long
}

impl ListPoller {
    /// Adds the call for the list to the actions when it is due, and the alarm for it when it is put off.
    pub fn handle(
        &mut self,
        now: Micros,
        event: &Event,
        config: &Config,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(within) = config.poll_interval else {
            return;
        };
        let failed = matches!(event, Event::EndpointList(EndpointListUpdate::Failed));
        if failed || !self.begun {
            self.begun = true;
            let after = self.put_off(now, failed, within, config, rng);
            actions.push(Action::SetTimer { after, token: DUE });
        }
        if self.at.take_if(|at| now >= *at).is_some() {
            self.asked = now;
            actions.push(Action::WatchEndpointList { on: true });
        }
    }

    /// Puts the next call off to a moment by chance within the window; gives how many µs that is from now.
    fn put_off(
        &mut self,
        now: Micros,
        failed: bool,
        within: Micros,
        config: &Config,
        rng: &mut impl Rng,
    ) -> Micros {
        let out = now.saturating_sub(self.asked);
        // A call that held for so long had been answered: the row is over. Twice the silence, for one that is told late.
        let held = out
            > config
                .notified_within
                .map_or(within, |_| 2 * LONGEST_SILENCE);
        self.failures = if failed && !held {
            self.failures + 1
        } else {
            u32::from(failed)
        };
        let doublings = self.failures.min(MOST_DOUBLINGS);
        // Discovery may have been in reach, unheard, ever since the failed call: that time is spent.
        let unheard = if failed { out.min(LONGEST_SILENCE) } else { 0 };
        let left = config
            .notified_within
            .map(|told| told.saturating_sub(unheard + ANSWER_TIME));
        let most = left.map_or(within, |left| left.min(within));
        // A lone forwarder has nobody to meet at discovery, but does not ask all the time where nobody answers.
        let others = Micros::from(config.fleet_size.saturating_sub(1));
        let window = ((CALL_TIME * others).min(within / FIRST_PART) << doublings).min(most);
        let least = if failed {
            (CALL_TIME << doublings).min(most / FIRST_PART)
        } else {
            0
        };
        let wait = if window > least {
            rng.random_range(least..window)
        } else {
            least
        };
        self.at = Some(now + wait);
        wait
    }
}

#[cfg(test)]
pub(crate) mod tests;
