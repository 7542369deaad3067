//! The HTML page of a report. It refers to no other file, so that it can be passed on alone.

use super::plots::{plots, PlotError};
use super::rows::FIGURES;
use crate::oracle::RuleViolation;
use crate::tally::{Clock, FaultPeriod, Outcome};

const STYLE: &str = "body{font:14px/1.4 sans-serif;margin:2em auto;max-width:1000px;color:#222}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}\
    svg{display:block;margin:.6em 0}.bad{color:#a00}";

/// Renders the page of one or several outcomes side by side. The first one gives the title and the description.
///
/// Fails if a plot can't be drawn.
pub fn html(outcomes: &[Outcome]) -> Result<String, PlotError> {
    let title = outcomes
        .first()
        .map_or("no outcomes", |outcome| outcome.scenario.as_str());
    let title = escape_html(title);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n"
    );
    if let Some(first) = outcomes.first() {
        page += &format!("<p>{}</p>\n", escape_html(&first.shows));
    }
    page += &figure_table(outcomes);
    for outcome in outcomes {
        page += &outcome_section(outcome)?;
    }
    page += "</body></html>\n";
    Ok(page)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Renders the table of figures, with one column for each outcome.
fn figure_table(outcomes: &[Outcome]) -> String {
    let mut table = String::from("<table>\n");
    for (label, format_figure) in FIGURES {
        let cells: String = outcomes
            .iter()
            .map(|outcome| format!("<td>{}</td>", escape_html(&format_figure(outcome))))
            .collect();
        table += &format!("<tr><th>{label}</th>{cells}</tr>\n");
    }
    table + "</table>\n"
}

/// Renders the section of one outcome: its missed expectations, plots, faults and rule violations.
fn outcome_section(outcome: &Outcome) -> Result<String, PlotError> {
    let clock = match outcome.clock {
        Clock::Simulated => "Simulated",
        Clock::Sockets => "On sockets",
    };
    let subject = escape_html(&outcome.subject);
    let mut section = format!("<h2>{clock}, seed {}, {subject}</h2>\n", outcome.seed);
    section += &missed_expectations(outcome);
    section += &plots(outcome)?;
    section += &fault_table(&outcome.spells);
    section += &violation_table(&outcome.breaks);
    Ok(section)
}

fn missed_expectations(outcome: &Outcome) -> String {
    let misses = outcome.misses();
    if misses.is_empty() {
        return String::new();
    }
    let items: String = misses
        .iter()
        .map(|miss| format!("<li>{}</li>", escape_html(miss)))
        .collect();
    format!("<ul class=\"bad\">{items}</ul>\n")
}

fn fault_table(periods: &[FaultPeriod]) -> String {
    if periods.is_empty() {
        return String::new();
    }
    let mut table =
        String::from("<table><tr><th>fault (shaded)</th><th>from s</th><th>until s</th></tr>\n");
    for period in periods {
        let (from_s, until_s) = (period.from as f64 / 1e6, period.until as f64 / 1e6);
        let fault_name = escape_html(&period.what);
        table +=
            &format!("<tr><td>{fault_name}</td><td>{from_s:.1}</td><td>{until_s:.1}</td></tr>\n");
    }
    table + "</table>\n"
}

fn violation_table(violations: &[RuleViolation]) -> String {
    if violations.is_empty() {
        return String::new();
    }
    let mut table =
        String::from("<table class=\"bad\"><tr><th>rule</th><th>at s</th><th>what</th></tr>\n");
    for violation in violations {
        let violated_at_s = violation.at as f64 / 1e6;
        let (rule, description) = (violation.rule, escape_html(&violation.what));
        table +=
            &format!("<tr><td>{rule}</td><td>{violated_at_s:.3}</td><td>{description}</td></tr>\n");
    }
    table + "</table>\n"
}
