//! Names that don't exist, and the nearest that do.

/// The name with the fewest letters changed, added, dropped or swapped, if these are under half of the letters.
/// Of equals, the first.
pub fn near<'a>(wanted: &str, among: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let wanted: Vec<char> = wanted.chars().take(LONGEST).collect();
    let ranked = among.map(|name| (distance(&wanted, name), name));
    let best = ranked.min_by_key(|r| r.0)?;
    (2 * best.0 <= wanted.len().max(2)).then_some(best.1)
}

/// Letters that are compared; names beyond that differ anyway.
const LONGEST: usize = 64;

/// Damerau's distance with adjacent swaps, in three rows.
fn distance(a: &[char], b: &str) -> usize {
    let b: Vec<char> = b.chars().take(LONGEST).collect();
    let mut rows = [vec![0; b.len() + 1], (0..=b.len()).collect(), vec![0; b.len() + 1]];
    for (i, x) in a.iter().enumerate() {
        rows[2][0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let kept = rows[1][j] + usize::from(x != y);
            let mut least = kept.min(rows[1][j + 1] + 1).min(rows[2][j] + 1);
            if i > 0 && j > 0 && *x == b[j - 1] && a[i - 1] == *y {
                least = least.min(rows[0][j - 1] + 1);
            }
            rows[2][j + 1] = least;
        }
        rows.rotate_left(1);
    }
    rows[1][b.len()]
}

#[cfg(test)]
mod tests {
    use super::near;

    #[test]
    fn the_nearest_name_is_found_and_a_far_one_is_not_offered() {
        let halls = ["karlin", "smichov", "vysocany"];
        assert_eq!(near("karlni", halls.into_iter()), Some("karlin"));
        assert_eq!(near("smichow", halls.into_iter()), Some("smichov"));
        assert_eq!(near("holesovice", halls.into_iter()), None);
        assert_eq!(near("x", [].into_iter()), None);
    }
}
