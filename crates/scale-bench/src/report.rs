//! The figures of a run, printed as a table for people or as JSON for programs.

use std::io::Write;
use std::path::{Path, PathBuf};

use clap::Args;
use serde::{Deserialize, Serialize};

use crate::error::BenchError;

/// Format and destination of the figures.
#[derive(Args, Debug, Clone, Default)]
pub struct Output {
    /// Print JSON instead of a table
    #[arg(long)]
    pub json: bool,
    /// Also write the JSON to this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// One figure of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Name of the figure, the same at every fleet size, such as `cpu_idle_percent`.
    pub name: String,
    /// Value of the figure, in `unit`.
    pub value: f64,
    /// Unit of the value, such as `us`, `%` or `bytes/s`; empty for some counts.
    pub unit: String,
}

/// The figures of one run, with what is needed to repeat and to read them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the subcommand.
    pub command: String,
    /// All arguments of the run, given or default, so that the run can be repeated.
    pub arguments: serde_json::Value,
    /// The figures, in the order in which they are printed.
    pub figures: Vec<Figure>,
    /// Facts needed to read the figures, such as how a figure is defined or what was left out.
    pub notes: Vec<String>,
}

impl Report {
    /// Creates a report without figures and notes.
    pub fn new(command: &str, arguments: serde_json::Value) -> Self {
        Report { command: command.into(), arguments, figures: Vec::new(), notes: Vec::new() }
    }

    /// Appends a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &str) {
        self.figures.push(Figure { name: name.into(), value, unit: unit.into() });
    }

    /// Returns the value of the first figure with this name, or `None` if there is none.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).map(|figure| figure.value)
    }

    /// Prints the report as JSON or as a table, and writes its JSON to the file that `output` names, if any.
    ///
    /// # Errors
    /// Returns an error if the report can't be encoded or printed, or the file can't be written.
    pub fn print(&self, output: &Output) -> Result<(), BenchError> {
        print_result(self, &self.table(), output)
    }

    fn table(&self) -> String {
        let width = self.figures.iter().map(|figure| figure.name.len()).max().unwrap_or(0);
        let mut text = format!("{} {}\n", self.command, self.arguments);
        for figure in &self.figures {
            text += &format!("  {:width$}  {:>14.4} {}\n", figure.name, figure.value, figure.unit);
        }
        for note in &self.notes {
            text += &format!("  note: {note}\n");
        }
        text
    }
}

/// Prints a result as JSON or as `table`, and writes the JSON to the file that `output` names, if any.
///
/// # Errors
/// Returns an error if the result can't be encoded or printed, or the file can't be written.
pub fn print_result(result: &impl Serialize, table: &str, output: &Output) -> Result<(), BenchError> {
    let json = serde_json::to_string_pretty(result).map_err(|error| BenchError::System {
        operation: "cannot encode the result as JSON",
        source: error.into(),
    })?;
    if let Some(path) = &output.out {
        write_file(path, &json)?;
    }
    let text = if output.json { &json } else { table };
    writeln!(std::io::stdout(), "{}", text.trim_end())
        .map_err(|source| BenchError::System { operation: "cannot print the result", source })
}

fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, format!("{text}\n"))
        .map_err(|source| BenchError::File { path: path.display().to_string(), source })
}
