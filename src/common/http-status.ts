/** Status codes of HTTP responses. */

const lowestFinalStatus = 200;
const highestFinalStatus = 599;

/** Whether the status is that of a response, rather than of an interim one or of none; parsers accept any digits. */
export function isFinalStatus(status: number): boolean {
    return status >= lowestFinalStatus && status <= highestFinalStatus;
}
