/** A bar chart as SVG: one bar for each row of a table. */
const WIDTH = 720;
const BAR_HEIGHT = 18;
const LABEL_WIDTH = 240;
const VALUE_WIDTH = 80;

export interface Bar {
  readonly label: string;
  readonly value: number;
}

export function drawBarChart(title: string, bars: ReadonlyArray<Bar>): string {
  const longest = Math.max(1e-9, ...bars.map(({ value }) => value));
  const scale = (WIDTH - LABEL_WIDTH - VALUE_WIDTH) / longest;
  const height = (bars.length + 2) * BAR_HEIGHT;
  const lines = bars.map(({ label, value }, index) => {
    const top = (index + 1.5) * BAR_HEIGHT;
    const middle = top + BAR_HEIGHT * 0.7;
    const width = value * scale;
    return [
      `<text x="${LABEL_WIDTH - 8}" y="${middle}" text-anchor="end">${label}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${width.toFixed(1)}" height="${BAR_HEIGHT - 4}"/>`,
      `<text x="${(LABEL_WIDTH + width + 6).toFixed(1)}" y="${middle}">${value.toFixed(1)}</text>`,
    ].join('');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12" fill="#246">`,
    `<text x="8" y="${BAR_HEIGHT}" font-weight="bold">${title}</text>`,
    ...lines,
    '</svg>',
  ].join('\n');
}
