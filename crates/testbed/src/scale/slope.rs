//! Least-squares line through measured points.

use serde::Serialize;

/// One measured value at one number of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Number of nodes.
    pub nodes: f64,
    /// The value.
    pub value: f64,
}

/// A line `intercept + slope * nodes`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at no nodes.
    pub intercept: f64,
    /// Growth with each node.
    pub slope: f64,
    /// Part of the variance that the line explains, 0 to 1.
    pub determination: f64,
}

/// Fits a line; `None` with fewer than two numbers of nodes.
pub fn fit(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_nodes = points.iter().map(|point| point.nodes).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let deviations = points
        .iter()
        .map(|point| (point.nodes - mean_nodes, point.value - mean_value));
    let (mut nodes_squared, mut values_squared, mut mixed) = (0.0, 0.0, 0.0);
    for (nodes, value) in deviations {
        nodes_squared += nodes * nodes;
        values_squared += value * value;
        mixed += nodes * value;
    }
    if points.len() < 2 || nodes_squared == 0.0 {
        return None;
    }
    let slope = mixed / nodes_squared;
    let explained = slope * mixed;
    Some(Line {
        intercept: mean_value - slope * mean_nodes,
        slope,
        determination: match values_squared == 0.0 {
            true => 1.0,
            false => explained / values_squared,
        },
    })
}
