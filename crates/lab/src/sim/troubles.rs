//! Troubles on their timeline: those of receivers go to the receivers, the rest strikes discovery and forwarders.

use super::{Happening, Sim};
use crate::scenario::What;
use crate::world::Layout;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event, Micros};
use rand::Rng;

impl Sim {
    pub(super) fn trouble(&mut self, number: usize, on: bool) {
        let trouble = self.scenario.troubles[number].clone();
        let until = trouble.at.0 + trouble.lasts.0;
        let targets = self
            .layout
            .struck(&self.scenario, &trouble.on, self.seed, number);
        let forwarders = Layout::struck_forwarders(&self.scenario, &trouble.on, self.seed, number);
        if on {
            self.arrange(until, Happening::Trouble { number, on: false });
        } else {
            self.pending_troubles -= 1;
        }
        match (&trouble.what, on) {
            (What::Killed { folder }, true) => {
                for forwarder in forwarders {
                    self.kill(forwarder, *folder);
                    self.arrange(
                        until,
                        Happening::Back {
                            forwarder,
                            folder: *folder,
                        },
                    );
                }
            }
            (What::Paused, true) => {
                for forwarder in forwarders {
                    if self.stations[forwarder as usize].up() {
                        self.stations[forwarder as usize].paused = true;
                        self.oracle.excuse(forwarder, Micros::MAX);
                    }
                    self.arrange(until, Happening::Resumes { forwarder });
                }
            }
            (What::Drain, true) => {
                let each = trouble.lasts.0 / targets.len().max(1) as u64;
                for (place, target) in targets.into_iter().enumerate() {
                    let begin = trouble.at.0 + each * place as u64;
                    self.arrange(
                        begin,
                        Happening::Drains {
                            target,
                            gone: false,
                        },
                    );
                    self.arrange(begin + each, Happening::Drains { target, gone: true });
                }
            }
            (What::Stale, true) => self.stale_until = self.stale_until.max(until),
            (What::Partial { missing }, _) => {
                let missing = if on { *missing } else { 0.0 };
                let mut list = self.list();
                list.retain(|_| !self.lags.random_bool(missing));
                self.tell_all(EndpointListUpdate::Complete(list));
            }
            (What::Killed { .. } | What::Paused | What::Drain | What::Stale, false) => {}
            (what, on) => self
                .receivers
                .strike(self.now, number, what, until, &targets, on),
        }
    }

    fn list(&self) -> Vec<EndpointEntry> {
        let entries = self.standing.iter().enumerate();
        entries
            .map(|(t, (holder, standing))| {
                self.layout
                    .listing(&self.scenario.destinations, t, *holder, *standing)
            })
            .collect()
    }

    /// One target begins to drain; or it is gone, and another holder stands under its address.
    pub(super) fn drains(&mut self, target: usize, gone: bool) {
        let (holder, _) = self.standing[target];
        let entry = |holder, standing| {
            self.layout
                .listing(&self.scenario.destinations, target, holder, standing)
        };
        let news = match gone {
            false => {
                self.standing[target] = (holder, EndpointStatus::Draining);
                vec![entry(holder, EndpointStatus::Draining)]
            }
            true => {
                self.standing[target] = (holder + 1, EndpointStatus::Ready);
                self.receivers.replace(self.now, target);
                self.connections[target].idle.clear();
                vec![
                    entry(holder, EndpointStatus::Removed),
                    entry(holder + 1, EndpointStatus::Ready),
                ]
            }
        };
        self.tell_all(EndpointListUpdate::Changes(news));
    }

    /// Tells every forwarder, each after a lag of its own, in order, and not while discovery is stale.
    fn tell_all(&mut self, news: EndpointListUpdate) {
        for forwarder in 0..self.stations.len() {
            let lag = self.lags.random_range(0..=self.scenario.network.list_lag.0);
            let station = &mut self.stations[forwarder];
            let at = (self.now.max(self.stale_until) + lag).max(station.news_at);
            station.news_at = at;
            self.arrange(
                at,
                Happening::News {
                    forwarder: forwarder as u32,
                    news: news.clone(),
                },
            );
        }
    }

    /// A call for the list: worked off in turn, too late for its caller or not.
    pub(super) fn ask(&mut self, forwarder: u32) {
        let Some(asked) = &self.scenario.network.asked else {
            return;
        };
        self.work.list_calls += 1;
        let wait = self.discovery_busy.saturating_sub(self.now) + asked.call.0;
        let (after, told) = match wait {
            _ if wait > asked.turned_away.0 => (2 * self.scenario.network.delay.0, false),
            _ => {
                self.discovery_busy = self.now + wait;
                (wait.min(asked.patience.0), wait <= asked.patience.0)
            }
        };
        let life = self.stations[forwarder as usize].life;
        self.arrange(
            self.now + after,
            Happening::Asked {
                forwarder,
                life,
                told,
            },
        );
    }

    pub(super) fn asked(&mut self, forwarder: u32, life: u32, told: bool) {
        let station = &mut self.stations[forwarder as usize];
        if station.life != life || !station.up() {
            return;
        }
        if told {
            station.hears = true;
            self.catch_up(forwarder);
        } else {
            self.give(
                forwarder,
                life,
                Event::EndpointList(EndpointListUpdate::Failed),
            );
        }
    }

    /// A forwarder that was away hears the whole list.
    pub(super) fn catch_up(&mut self, forwarder: u32) {
        let list = self.list();
        let at = self.now.max(self.stale_until);
        self.arrange(
            at,
            Happening::News {
                forwarder,
                news: EndpointListUpdate::Complete(list),
            },
        );
    }
}
