/** Returns the integers from 0 (inclusive) to `count` (exclusive). */
export function range(count: number): readonly number[] {
    return [...Array(count).keys()];
}
