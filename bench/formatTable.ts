/** Plain-text tables. */

/** Right-aligned columns below their titles; the first column is left-aligned. */
export function formatTable(
  titles: ReadonlyArray<string>,
  rows: ReadonlyArray<ReadonlyArray<string>>,
): string {
  const widths = titles.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: ReadonlyArray<string>): string =>
    row
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0),
      )
      .join('  ');
  return [titles, ...rows].map(formatRow).join('\n');
}

/** Three significant digits, without an exponent. */
export function formatNumber(value: number): string {
  if (value === 0 || Math.abs(value) >= 100) return value.toFixed(0);
  return value.toPrecision(3);
}
