//! Formats the result of a ladder as a text table.

use super::fit::{Fitted, NoExponent};
use super::ladder::{Growth, Ladder};
use super::size::SizeDimension;

/// Returns the table: each figure with its growth and its values at each size, and then the runs that failed.
pub fn table(ladder: &Ladder, against: SizeDimension) -> String {
    let mut text = format!("slopes {}\n", ladder.arguments);
    for figure in &ladder.figures {
        text += &growth_line(figure, against);
        for at_size in &figure.sizes {
            let size = format!("{}/{}", at_size.size.servers, at_size.size.nodes);
            let spread = format!("({}..{})", format_number(at_size.least), format_number(at_size.most));
            text += &format!("  {size:>14}  {:>10}  {spread}\n", format_number(at_size.mean));
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

fn growth_line(figure: &Growth, against: SizeDimension) -> String {
    let exponent = match (&figure.exponent, figure.no_exponent) {
        (Some(exponent), _) => format!("exponent {}", format_fitted(exponent)),
        (None, Some(NoExponent::OneSize)) => "no exponent: measured at one size alone".into(),
        (None, _) => "no exponent: zero or negative somewhere".into(),
    };
    let slope = match &figure.slope {
        Some(slope) => format!("slope {}", format_fitted(slope)),
        None => "no slope".into(),
    };
    let name = &figure.name;
    let unit = &figure.unit;
    let per = match against {
        SizeDimension::Servers => "server",
        SizeDimension::Nodes => "node",
    };
    format!("{name} in {unit}: {exponent}; {slope} {unit} per {per}\n")
}

fn format_fitted(fitted: &Fitted) -> String {
    format!(
        "{} ({}..{})",
        format_number(fitted.value),
        format_number(fitted.least),
        format_number(fitted.most)
    )
}

/// Returns the number with four significant digits.
fn format_number(value: f64) -> String {
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
