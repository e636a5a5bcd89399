//! A page of what was seen: a table in Markdown, a row for each scenario and program.

use std::path::Path;

/// A row of these cells.
pub fn row(cells: [&str; 6]) -> String {
    // A bar would end the cell.
    let cells: Vec<_> = cells.iter().map(|cell| cell.replace('|', "/").replace('\n', " ")).collect();
    format!("| {} |", cells.join(" | "))
}

/// Puts a row in place of the one whose first two cells are these, or behind the last row of the page's first table.
///
/// # Errors
/// When the page can't be read or written, or has no table.
pub fn replace(page: &Path, name: &str, programs: &str, row: &str) -> Result<(), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", page.display());
    let text = std::fs::read_to_string(page).map_err(wrong)?;
    let begins = format!("| {name} | {programs} |");
    let mut lines: Vec<&str> = text.lines().collect();
    let first = lines.iter().position(|l| l.starts_with("| --- |"));
    let first = first.ok_or_else(|| format!("{}: there is no table", page.display()))?;
    let rows = lines[first..].iter().take_while(|l| l.starts_with('|')).count();
    match lines[first..first + rows].iter().position(|l| l.starts_with(&begins)) {
        Some(at) => lines[first + at] = row,
        None => lines.insert(first + rows, row),
    }
    std::fs::write(page, lines.join("\n") + "\n").map_err(wrong)
}

#[cfg(test)]
mod tests;
