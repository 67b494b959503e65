/**
 * Recognizes a message that is sent in very small chunks without end. Each chunk costs the work of a large one, so that such a
 * message takes most of the process's time long before it exceeds a limit in bytes.
 */

/** Far more than the bytes of a response of ordinary size, which a server may send one by one. */
const maximumChunks = 16_384;
const smallChunkBytes = 8;

export class SmallChunkLimit {
    private chunks = 0;
    private bytes = 0;

    /** Adds the bytes of some chunks; returns whether there have been too many chunks that are small on average. */
    isExceededBy(bytes: Buffer, chunkCount: number): boolean {
        this.chunks += chunkCount;
        this.bytes += bytes.length;
        return this.chunks > maximumChunks && this.bytes < smallChunkBytes * this.chunks;
    }

    /** Counts anew, after a part of the message has been complete. */
    reset(): void {
        this.chunks = 0;
        this.bytes = 0;
    }
}
