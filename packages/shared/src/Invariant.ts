/** Throws if a condition that the code relies on is false. */
export function invariant(condition: unknown, message: string): asserts condition {
    if (!condition) {
        throw new Error(`invariant violated: ${message}`);
    }
}
