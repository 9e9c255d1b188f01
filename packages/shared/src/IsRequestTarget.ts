/** Whether Node.js sends a request with this target. Its parser also takes targets with tabs and form feeds. */
export function isRequestTarget(target: string): boolean {
    return /^[\x21-\xff]+$/.test(target);
}
