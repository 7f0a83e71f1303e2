//! Collects the values of each figure from the runs of a ladder and fits their growth.

use std::collections::BTreeMap;

use super::fit::{self, Point};
use super::ladder::{FigureAtSize, Growth, Run};
use super::size::{Size, SizeDimension};

/// The values of one figure over all runs.
struct Series<'a> {
    name: &'a str,
    unit: &'a str,
    values: Vec<SizedPoint>,
}

/// A value of a figure, with both numbers of the size at which it was measured.
struct SizedPoint {
    size: Size,
    point: Point,
}

/// Returns the growth of each figure, in the order in which the runs first report them.
pub fn growth_of_figures(sizes: &[Size], runs: &[Run], against: SizeDimension) -> Vec<Growth> {
    let series = collect_series(runs, against);
    series.iter().map(|series| series.growth(sizes)).collect()
}

/// Returns the values of each figure from all runs that have a report.
fn collect_series(runs: &[Run], against: SizeDimension) -> Vec<Series<'_>> {
    let mut all: Vec<Series> = Vec::new();
    let mut index_by_name: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        let size = f64::from(run.size.along(against));
        for figure in run.report.iter().flat_map(|report| &report.figures) {
            let index = *index_by_name.entry(&figure.name).or_insert_with(|| {
                all.push(Series { name: &figure.name, unit: &figure.unit, values: Vec::new() });
                all.len() - 1
            });
            let point = Point { round: run.run, size, value: figure.value };
            all[index].values.push(SizedPoint { size: run.size, point });
        }
    }
    all
}

impl Series<'_> {
    fn growth(&self, sizes: &[Size]) -> Growth {
        let points: Vec<Point> = self.values.iter().map(|value| value.point).collect();
        let exponent = fit::exponent(&points);
        Growth {
            name: self.name.into(),
            unit: self.unit.into(),
            sizes: sizes.iter().filter_map(|&size| self.at_size(size)).collect(),
            slope: fit::slope(&points),
            exponent: exponent.ok(),
            no_exponent: exponent.err(),
        }
    }

    /// Returns the summary of the values at this size; `None` if there are none.
    fn at_size(&self, size: Size) -> Option<FigureAtSize> {
        let here = self.values.iter().filter(|value| value.size == size);
        let values: Vec<f64> = here.map(|value| value.point.value).collect();
        if values.is_empty() {
            return None;
        }
        Some(FigureAtSize {
            size,
            mean: values.iter().sum::<f64>() / values.len() as f64,
            least: values.iter().copied().fold(f64::INFINITY, f64::min),
            most: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        })
    }
}
