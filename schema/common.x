/* Types that several programs share. */

const PST_ID_MAX = 63;

typedef string pst_id<PST_ID_MAX>;
