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
mod tests {
    use super::*;

    #[test]
    fn a_row_takes_the_place_of_its_own_or_comes_last() {
        let page = std::env::temp_dir().join(format!("wheellink-page-{}", std::process::id()));
        std::fs::write(&page, "# x\n\n| a | b |\n| --- | --- |\n| one | this | old |\n\nend\n").unwrap();
        replace(&page, "one", "this", &row(["one", "this", "1", "w", "a|b", "3"])).unwrap();
        replace(&page, "one", "both", &row(["one", "both", "1", "w", "s", "3"])).unwrap();
        let text = std::fs::read_to_string(&page).unwrap();
        let rows = "| one | this | 1 | w | a/b | 3 |\n| one | both | 1 | w | s | 3 |\n";
        assert_eq!(text, format!("# x\n\n| a | b |\n| --- | --- |\n{rows}\nend\n"));
        std::fs::write(&page, "# x\n").unwrap();
        assert!(replace(&page, "one", "this", "").unwrap_err().ends_with("there is no table"));
        std::fs::remove_file(page).unwrap();
    }
}
