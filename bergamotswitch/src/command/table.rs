//! Provides plain-text tables for the commands' output.

use std::fmt;

/// The separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A `TextTable` is a header row and rows of cells, printed in columns. Numeric
/// columns are right-aligned, all others left-aligned.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    indent: usize,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Get a table with a header row only.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).to_owned()).collect();
        TextTable {
            indent: 0,
            rows: vec![head],
        }
    }

    /// Set the number of spaces before each line.
    pub fn with_indent(mut self, indent: usize) -> Self {
        self.indent = indent;
        self
    }

    /// Add a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Get whether the table has no row besides the header.
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    fn columns(&self) -> Vec<TableColumn> {
        let count = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        (0..count)
            .map(|index| TableColumn::of(&self.rows, index))
            .collect()
    }
}

/// A `TableColumn` is the width and alignment of one column.
#[derive(Clone, Copy, Debug)]
struct TableColumn {
    width: usize,
    numeric: bool,
}

impl TableColumn {
    fn of(rows: &[Vec<String>], index: usize) -> Self {
        let cells = rows.iter().filter_map(|row| row.get(index));
        let width = cells.clone().map(|cell| cell.chars().count()).max();
        let numeric = cells.skip(1).all(|cell| is_number(cell));
        TableColumn {
            width: width.unwrap_or_default(),
            numeric,
        }
    }
}

/// Get whether a cell is a number or the placeholder for an absent one.
fn is_number(cell: &str) -> bool {
    cell == "-" || cell.parse::<f64>().is_ok()
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.columns();
        for row in &self.rows {
            let mut line = " ".repeat(self.indent);
            for (cell, column) in row.iter().zip(&columns) {
                let width = column.width;
                match column.numeric {
                    true => line += &format!("{cell:>width$}{COLUMN_GAP}"),
                    false => line += &format!("{cell:<width$}{COLUMN_GAP}"),
                }
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
