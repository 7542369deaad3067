//! Reports: one self-contained HTML page of one or several outcomes side by side, plots drawn as SVG; the same figures in
//! words for a terminal. `rows` names the figures, `page` and `plots` write the page.

mod page;
mod plots;
mod rows;

pub use page::html;
pub use plots::PlotError;

use crate::tally::Outcome;
use rows::FIGURES;

/// Broken rules that are told with what happened, in a terminal.
const MAX_PRINTED_BREAKS: usize = 5;

/// The figures of an outcome in words, for a terminal.
pub fn text(outcome: &Outcome) -> String {
    let mut text = format!("{}: {}\n", outcome.scenario, outcome.shows);
    for (label, format_figure) in FIGURES {
        text += &format!("  {label:<38}{}\n", format_figure(outcome));
    }
    for miss in outcome.misses() {
        text += &format!("  MISSED: {miss}\n");
    }
    for broken in outcome.breaks.iter().take(MAX_PRINTED_BREAKS) {
        let broken_at_s = broken.at as f64 / 1e6;
        let (rule, description) = (broken.rule, &broken.what);
        text += &format!("  {rule} at {broken_at_s:.3} s: {description}\n");
    }
    text
}

#[cfg(test)]
mod tests;
