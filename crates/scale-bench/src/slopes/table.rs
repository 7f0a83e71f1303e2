//! Writes a ladder as a table for people.

use super::fit::{Fitted, NoExponent};
use super::ladder::{Growth, Ladder};
use super::size::Against;

/// The table: each figure with its growth and its values by size, then the runs that failed.
pub fn table(ladder: &Ladder, against: Against) -> String {
    let mut text = format!("slopes {}\n", ladder.arguments);
    for figure in &ladder.figures {
        text += &growth_line(figure, against);
        for at_size in &figure.sizes {
            let size = format!("{}/{}", at_size.size.servers, at_size.size.nodes);
            let spread = format!("({}..{})", short(at_size.least), short(at_size.most));
            text += &format!("  {size:>14}  {:>10}  {spread}\n", short(at_size.mean));
        }
    }
    for run in &ladder.runs {
        if let Some(failure) = &run.failure {
            let size = run.size;
            text += &format!("failed: {}/{} seed {}: {failure}\n", size.servers, size.nodes, run.seed);
        }
    }
    text
}

fn growth_line(figure: &Growth, against: Against) -> String {
    let exponent = match (&figure.exponent, figure.no_exponent) {
        (Some(exponent), _) => format!("exponent {}", with_spread(exponent)),
        (None, Some(NoExponent::OneSize)) => "no exponent: measured at one size alone".into(),
        (None, _) => "no exponent: zero or negative somewhere".into(),
    };
    let slope = match &figure.slope {
        Some(slope) => format!("slope {}", with_spread(slope)),
        None => "no slope".into(),
    };
    let name = &figure.name;
    let unit = &figure.unit;
    let per = match against {
        Against::Servers => "server",
        Against::Nodes => "node",
    };
    format!("{name} in {unit}: {exponent}; {slope} {unit} per {per}\n")
}

fn with_spread(fitted: &Fitted) -> String {
    format!("{} ({}..{})", short(fitted.value), short(fitted.least), short(fitted.most))
}

/// The number with four significant digits.
fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    match digits {
        0..=9 => format!("{value:.*}", digits as usize),
        10.. => format!("{value:.3e}"),
        _ => format!("{value:.0}"),
    }
}
