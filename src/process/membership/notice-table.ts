/**
 * Notices that a backend server is leaving or has failed. A notice applies to the incarnation it names and is never
 * revoked; a restarted backend server has a higher incarnation.
 */
import { LRUCache } from "lru-cache";
import type { BackendServerNotice } from "../../domain/fleet.js";
import { maximumNotices } from "./settings.js";

export class NoticeTable {
    private readonly notices = new LRUCache<string, BackendServerNotice>({ max: maximumNotices });

    /** Records a notice. Returns whether it is new, which means for a higher incarnation than any earlier one. */
    apply(notice: BackendServerNotice): boolean {
        const key = `${notice.backendServer} ${notice.signal}`;
        const recorded = this.notices.get(key);
        if (recorded !== undefined && recorded.incarnation >= notice.incarnation) {
            return false;
        }
        this.notices.set(key, notice);
        return true;
    }

    all(): BackendServerNotice[] {
        return [...this.notices.values()];
    }
}
