//! Suggestions for misspelled names.

/// Characters of a name that are compared.
const MAX_COMPARED_CHARS: usize = 64;

/// The candidate with the smallest edit distance, if the distance is at most half the length of `wanted`. Among candidates
/// with equal distance the first is returned.
pub fn nearest_name<'a>(wanted: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let wanted: Vec<char> = wanted.chars().take(MAX_COMPARED_CHARS).collect();
    let ranked = candidates.map(|name| (distance(&wanted, name), name));
    let (best_distance, best) = ranked.min_by_key(|r| r.0)?;
    (2 * best_distance <= wanted.len().max(2)).then_some(best)
}

/// Damerau-Levenshtein distance (optimal string alignment), computed with three rows of the matrix.
fn distance(a: &[char], b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
    let mut rows = [vec![0; b.len() + 1], (0..=b.len()).collect(), vec![0; b.len() + 1]];
    for (i, x) in a.iter().enumerate() {
        rows[2][0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = rows[1][j] + usize::from(x != y);
            let mut cost = substitution.min(rows[1][j + 1] + 1).min(rows[2][j] + 1);
            if i > 0 && j > 0 && *x == b[j - 1] && a[i - 1] == *y {
                cost = cost.min(rows[0][j - 1] + 1);
            }
            rows[2][j + 1] = cost;
        }
        rows.rotate_left(1);
    }
    rows[1][b.len()]
}

#[cfg(test)]
mod tests {
    use super::nearest_name;

    #[test]
    fn nearest_name_within_half_the_length() {
        let halls = ["karlin", "smichov", "vysocany"];
        assert_eq!(nearest_name("karlni", halls.into_iter()), Some("karlin"));
        assert_eq!(nearest_name("smichow", halls.into_iter()), Some("smichov"));
        assert_eq!(nearest_name("holesovice", halls.into_iter()), None);
        assert_eq!(nearest_name("x", [].into_iter()), None);
    }
}
