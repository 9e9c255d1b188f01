/** Whether a status code can end an exchange. Node.js also accepts others of a server, such as 000, which it cannot send. */
export function isFinalStatus(status: number | undefined): boolean {
    return status !== undefined && status >= 200 && status <= 599;
}
