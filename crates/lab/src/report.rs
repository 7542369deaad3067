//! Reports on outcomes: a self-contained HTML page that shows one or several outcomes side by side, with plots as SVG, and
//! the same figures as text for a terminal. `rows` defines the figures, `page` and `plots` render the page.

mod page;
mod plots;
mod rows;

pub use page::html;
pub use plots::PlotError;

use crate::tally::Outcome;
use rows::FIGURES;

/// Most broken rules that are printed with their descriptions in a terminal.
const MAX_PRINTED_BREAKS: usize = 5;

/// Renders the figures of an outcome as text for a terminal, with its missed expectations and its first broken rules.
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
