/** Counts of calls to the stand-in platform, by the kinds that the platform bills. */

/** Number of calls of each kind. A watch counts once, however long it stays open. */
export class CallCounts {
    reads = 0;
    writes = 0;
    leaseCalls = 0;
    watches = 0;
    vmLists = 0;

    get total(): number {
        return this.reads + this.writes + this.leaseCalls + this.watches + this.vmLists;
    }

    reset(): void {
        this.reads = 0;
        this.writes = 0;
        this.leaseCalls = 0;
        this.watches = 0;
        this.vmLists = 0;
    }
}
