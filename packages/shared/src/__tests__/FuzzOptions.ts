/** Options of a property test: fixed in CI, longer and from another seed in `npm run fuzz`. */
export function fuzzOptions(seed: number, numRuns: number): { readonly seed: number; readonly numRuns: number; } {
    const runs = Number(process.env.ENDIVEBRIDGE_FUZZ_RUNS ?? 0);
    return runs > 0 ? { seed: Date.now() % 2 ** 31, numRuns: runs } : { seed, numRuns };
}
