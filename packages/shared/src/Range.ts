/** The whole numbers from 0 up to, but without, `count`. */
export function range(count: number): readonly number[] {
    return [...Array(count).keys()];
}
