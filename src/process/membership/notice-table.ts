/** Sights of backend servers that leave or failed. They hold for the incarnation that was seen and are not undone. */
import { LRUCache } from "lru-cache";
import type { BackendServerNotice } from "../../domain/fleet.js";
import { maximumNotices } from "./settings.js";

export class NoticeTable {
    private readonly notices = new LRUCache<string, BackendServerNotice>({ max: maximumNotices });

    /** Takes a notice in. Returns whether it is new. */
    apply(notice: BackendServerNotice): boolean {
        const key = `${notice.backendServer} ${notice.signal}`;
        const known = this.notices.get(key);
        if (known !== undefined && known.incarnation >= notice.incarnation) {
            return false;
        }
        this.notices.set(key, notice);
        return true;
    }

    all(): BackendServerNotice[] {
        return [...this.notices.values()];
    }
}
