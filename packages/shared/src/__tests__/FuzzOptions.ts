/** Options of a property test: a fixed seed in CI, more runs and a time-based seed in `npm run fuzz`. */
export function fuzzOptions(seed: number, numRuns: number): { readonly seed: number; readonly numRuns: number; } {
    const runs = Number(process.env.ENDIVEBRIDGE_FUZZ_RUNS ?? 0);
    return runs > 0 ? { seed: Date.now() % 2 ** 31, numRuns: runs } : { seed, numRuns };
}
